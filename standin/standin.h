/** @file
 * The subcommands of build/standin, which take the place of the fleet's
 * surroundings in tests and demos: the platform, model engines, plain services
 * and callers; and, where the users' platform configures the fleet, its store,
 * replicas, callers and links.  Each gets the argument vector that begins with
 * its own name, parses it with argp and returns the exit status.  For tests
 * only.
 */
#ifndef STANDIN_STANDIN_H
#define STANDIN_STANDIN_H

int platform_main (int argc, char **argv);
int engine_main (int argc, char **argv);
int plain_main (int argc, char **argv);
int load_main (int argc, char **argv);
int store_main (int argc, char **argv);
int replica_main (int argc, char **argv);
int ask_main (int argc, char **argv);
int judge_main (int argc, char **argv);
int relay_main (int argc, char **argv);

#endif
