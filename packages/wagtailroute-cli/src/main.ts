/**
Entry point of the script with all commands.
*/
import * as cli from './cli.ts';
import * as program from './program.ts';

void program.runProgram(cli.runCli);
