/** @file
 * cmd ("command"): the subcommands of the rattanspindle program.  Each one
 * gets the argument vector that begins with its own name, prints its errors
 * on stderr and returns the exit status of the process.  Only main.c calls
 * the subcommands.
 */
#ifndef RTS_CMD_H
#define RTS_CMD_H

/** Exit statuses shared by all subcommands. */
enum
{
  CMD_OK = 0,
  CMD_FAILED = 1,       /**< refused or not possible; stderr has the reason */
  CMD_USAGE = 64,       /**< wrong arguments; EX_USAGE of sysexits.h */
  CMD_UNREACHABLE = 69, /**< no VM responded; EX_UNAVAILABLE of sysexits.h */
};

int cmd_serve (int argc, char **argv);
int cmd_config (int argc, char **argv);
int cmd_document (int argc, char **argv);
int cmd_key (int argc, char **argv);
int cmd_customer (int argc, char **argv);
int cmd_upstream (int argc, char **argv);
int cmd_batch (int argc, char **argv);
int cmd_status (int argc, char **argv);
int cmd_timeline (int argc, char **argv);

#endif
