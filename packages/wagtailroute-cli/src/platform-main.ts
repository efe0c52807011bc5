/**
The entry of the program with the one command `platform`.
*/
import * as platform from './commands/platform.ts';
import * as commandLine from './command-line.ts';
import * as program from './program.ts';

void program.runProgram(async (words, surroundings) => commandLine.runCommand([platform.PlatformCommand], words, surroundings));
