/**
Free ports for hosts that must know their ports before they listen.
*/
import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import process from 'node:process';
import test from 'ava';
import {findFreePort} from '../../ports.ts';

const PORTS = 20;
const MODULE = path.join(import.meta.dirname, '../../ports.ts');

/**
Looks for a port as a process with another identifier, and prints it.
*/
const SEARCH = `
Object.defineProperty(process, 'pid', {value: Number(process.argv[1])});
const {findFreePort} = await import(process.argv[2]);
console.log(await findFreePort());
`;

test('a port is given out once, also to processes that search the same block', async t => {
	// Guards against two processes that take the same port before either listens on it.
	const ports: number[] = [];
	for (let count = 0; count < PORTS; count++) {
		// eslint-disable-next-line no-await-in-loop -- One search after the other.
		ports.push(await findFreePort());
	}

	const stdout = childProcess.execFileSync(process.execPath, ['--input-type=module', '-e', SEARCH, String(process.pid), MODULE], {encoding: 'utf8'});
	t.false(ports.includes(Number(stdout)), `${stdout.trim()} of ${ports.join(' ')}`);
	t.is(new Set(ports).size, PORTS);
});
