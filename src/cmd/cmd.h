/** @file
 * The subcommands: each takes its own argv and returns the exit status.
 */
#ifndef RTS_CMD_H
#define RTS_CMD_H

/** Exit statuses shared by all subcommands. */
enum
{
  CMD_OK = 0,
  CMD_FAILED = 1, /**< refused or not possible; the message says why */
  CMD_USAGE = 64, /**< wrong options */
  CMD_UNREACHABLE = 69,
};

int cmd_serve (int argc, char **argv);
int cmd_config (int argc, char **argv);
int cmd_key (int argc, char **argv);
int cmd_customer (int argc, char **argv);
int cmd_upstream (int argc, char **argv);
int cmd_batch (int argc, char **argv);
int cmd_status (int argc, char **argv);
int cmd_timeline (int argc, char **argv);

#endif
