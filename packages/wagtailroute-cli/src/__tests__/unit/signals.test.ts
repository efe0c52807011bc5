/**
Tests of the signals that stop a host, with a process of the program.
*/
import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import process from 'node:process';
import test, {type ExecutionContext} from 'ava';

const PROGRAM = path.resolve(import.meta.dirname, '../../../../../bin/wagtailroute');
const FIRST_PORT = 20_000;
const PORT_RANGE = 10_000;

const SIGNALS: ReadonlyArray<readonly NodeJS.Signals[]> = [['SIGTERM'], ['SIGINT', 'SIGTERM'], ['SIGHUP'], ['SIGHUP', 'SIGHUP']];

/**
Starts a host, sends it the signals once it is ready, and resolves with its exit code and output.
*/
async function runWithSignals(t: ExecutionContext, port: number, signals: readonly NodeJS.Signals[]): Promise<{readonly code: number | null; readonly output: string}> {
	const child = childProcess.spawn(PROGRAM, ['dev', '--traffic-port', String(port), '--admin-port', String(port + 1)], {stdio: ['ignore', 'pipe', 'pipe']});
	t.teardown(() => {
		child.kill('SIGKILL');
	});
	const chunks: string[] = [];
	const collect = (chunk: Uint8Array) => {
		chunks.push(String(chunk));
		if (chunks.join('').includes('dev: ready') && !child.killed) {
			for (const signal of signals) {
				child.kill(signal);
			}
		}
	};

	child.stdout.on('data', collect);
	child.stderr.on('data', collect);
	const code = await new Promise<number | null>(resolve => {
		child.once('close', resolve);
	});
	return {code, output: chunks.join('')};
}

for (const [index, signals] of SIGNALS.entries()) {
	// Guards against a signal that ends the process without a drain: a closed terminal sends SIGHUP.
	test(`a host without settings to reload is drained on ${signals.join(' and ')}`, async t => {
		const port = FIRST_PORT + (((process.pid * SIGNALS.length) + index) * 2 % PORT_RANGE);
		const {code, output} = await runWithSignals(t, port, signals);
		t.is(code, 0, `printed: ${output}`);
		t.true(output.includes('The host stopped.'), `printed: ${output}`);
	});
}
