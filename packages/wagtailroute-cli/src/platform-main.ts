/**
Entry point of the script with the command `platform` only.
*/
import * as platform from './commands/platform.ts';
import * as commandLine from './command-line.ts';
import * as program from './program.ts';

void program.runProgram(async (argv, context) => commandLine.runCommand([platform.PlatformCommand], argv, context));
