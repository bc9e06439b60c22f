/** @file
 * The subcommands of build/standin; each parses its own arguments with argp.
 */
#ifndef STANDIN_STANDIN_H
#define STANDIN_STANDIN_H

int platform_main (int argc, char **argv);
int engine_main (int argc, char **argv);
int plain_main (int argc, char **argv);
int load_main (int argc, char **argv);

#endif
