/**
Starts the laboratory: `npm run lab -- compare A B`, `-- ablate`, `-- sweep PARAMETER [VALUE...]`.
*/
import process from 'node:process';
import {createLabCli} from './commands.ts';

process.exitCode = await createLabCli().run(process.argv.slice(2), {stdin: process.stdin, stdout: process.stdout, stderr: process.stderr});
