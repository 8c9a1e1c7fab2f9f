/**
 * Exit code of a command: 0 success, 1 failure, 2 wrong usage, 3 faults in a file, 4 another change was accepted first,
 * 5 the daemon or its store cannot be reached.
 */
export type ExitCode = 0 | 1 | 2 | 3 | 4 | 5;
