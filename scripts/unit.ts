/**
Runs the unit tests, but for those that are known to be red: these are printed. With arguments, these go to the test runner in one run.
*/
import * as childProcess from 'node:child_process';
import * as files from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import {createMatchArguments, parseKnownRed} from './known-red.ts';

const ROOT = path.dirname(import.meta.dirname);
const KNOWN_RED = path.join(ROOT, 'KNOWN-RED.txt');

const red = files.existsSync(KNOWN_RED) ? parseKnownRed(files.readFileSync(KNOWN_RED, 'utf8')) : [];
for (const {line} of red) {
	process.stdout.write(`Known red, passed over: ${line}\n`);
}

/**
Test files that run at once, as a part of the processors: each file of the platform starts up to 20 processes, and a check of what callers get fails
where these have too little processor time.
*/
const PLATFORM_CONCURRENCY_PART = 0.5;

const RUNS: ReadonlyArray<readonly string[]> = [
	['packages/*/src/__tests__/unit/**/*.test.ts', 'scripts/__tests__/unit/**/*.test.ts'],
	['platform/src/__tests__/unit/**/*.test.ts', '--concurrency', String(Math.max(1, Math.floor(os.availableParallelism() * PLATFORM_CONCURRENCY_PART)))],
];

function runTests(testArguments: readonly string[]): number {
	const {status} = childProcess.spawnSync(path.join(ROOT, 'node_modules/.bin/ava'), [...createMatchArguments(red), ...testArguments], {
		cwd: ROOT, stdio: 'inherit',
	});
	return status ?? 1;
}

const given = process.argv.slice(2);
const statuses = (given.length === 0 ? RUNS : [given]).map(testArguments => runTests(testArguments));
process.exitCode = statuses.find(status => status !== 0) ?? 0;
