/**
Runs the unit tests, but for those that are known to be red: these are printed.
*/
import * as childProcess from 'node:child_process';
import * as files from 'node:fs';
import * as path from 'node:path';
import process from 'node:process';
import {createMatchArguments, parseKnownRed} from './known-red.ts';

const ROOT = path.dirname(import.meta.dirname);
const KNOWN_RED = path.join(ROOT, 'KNOWN-RED.txt');

const red = files.existsSync(KNOWN_RED) ? parseKnownRed(files.readFileSync(KNOWN_RED, 'utf8')) : [];
for (const {line} of red) {
	process.stdout.write(`Known red, passed over: ${line}\n`);
}

const {status} = childProcess.spawnSync(path.join(ROOT, 'node_modules/.bin/ava'), [...createMatchArguments(red), ...process.argv.slice(2)], {
	cwd: ROOT, stdio: 'inherit',
});
process.exitCode = status ?? 1;
