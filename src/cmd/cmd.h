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

#endif
