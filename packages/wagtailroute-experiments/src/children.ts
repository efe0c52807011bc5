/**
Child processes of an experiment other than hosts: stand-ins and load.
*/
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import process from 'node:process';
import * as readline from 'node:readline';
import * as core from 'wagtailroute-core';

/**
A running child.
*/
export type Child = {
	readonly stop: () => Promise<void>;
};

/**
What the process of stand-ins can be told to do with one of them.
*/
export type StandinCommand = 'drain' | 'crash' | 'start';

/**
The running process of stand-ins.
*/
export type StandinProcess = Child & {
	readonly addresses: readonly core.Address[];
	/**
	Resolves when the command is carried out: a drain, when nothing is in flight there any more.
	*/
	readonly command: (name: StandinCommand, index: number) => Promise<void>;
};

/**
Milliseconds of processor time in a tick of the kernel's accounting.
*/
const TICK_MILLISECONDS = 10;

/**
Slots of a stand-in that is not to be the bound.
*/
const DEFAULT_SLOTS = 500;

/**
Starts stand-ins in a process of their own and waits until they have announced themselves.
*/
export async function startStandinProcess(plan: {
	readonly service: string;
	readonly count: number;
	readonly port: number;
	readonly entryHosts: readonly core.Address[];
	readonly slots?: number;
	readonly workMilliseconds?: number;
}): Promise<StandinProcess> {
	const script = path.join(import.meta.dirname, 'standin-main.ts');
	const child = childProcess.spawn(process.execPath, [
		script, plan.service, String(plan.count), String(plan.port), ...plan.entryHosts.map(host => core.formatAddress(host)),
	], {
		stdio: ['pipe', 'pipe', 'inherit'],
		env: {
			...process.env,
			...Object.fromEntries([['STANDIN_SLOTS', String(plan.slots ?? DEFAULT_SLOTS)], ['STANDIN_WORK', String(plan.workMilliseconds ?? 0)]]),
		},
	});
	const lines = readline.createInterface({input: child.stdout});
	const waitForLine = async (expected: string): Promise<void> => new Promise(resolve => {
		const listen = (line: string): void => {
			if (line !== expected) {
				return;
			}

			lines.off('line', listen);
			resolve();
		};

		lines.on('line', listen);
	});
	await waitForLine('standin: ready');
	return {
		addresses: Array.from({length: plan.count}, (_, index) => ({ip: '127.0.0.1', port: plan.port + index})),
		async command(name, index) {
			const line = `${name} ${index}`;
			const carriedOut = waitForLine(line);
			child.stdin.write(`${line}\n`);
			await carriedOut;
		},
		async stop() {
			const exited = new Promise(resolve => {
				child.once('exit', resolve);
			});
			child.kill('SIGKILL');
			await exited;
		},
	};
}

/**
What a run of `load` printed.
*/
export type LoadReport = Readonly<Record<string, unknown>>;

/**
Runs the command `load` to its end. The environment variable `SHOW_PROGRESS` lets its progress through.
*/
export async function runLoad(program: string, flags: readonly string[]): Promise<LoadReport> {
	const child = childProcess.spawn(program, ['load', '--format', 'json', ...flags], {
		stdio: ['ignore', 'pipe', process.env.SHOW_PROGRESS === undefined ? 'ignore' : 'inherit'],
	});
	const parts: string[] = [];
	child.stdout.on('data', (chunk: unknown) => {
		parts.push(String(chunk));
	});
	await new Promise(resolve => {
		child.once('close', resolve);
	});
	return JSON.parse(parts.join('')) as LoadReport;
}

/**
Returns the processor time that a process has used, in milliseconds, as the kernel counts it.
*/
export function getProcessorMilliseconds(pid: number): number {
	const text = fs.readFileSync(`/proc/${pid}/stat`, 'utf8');
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
	return (Number(fields[11]) + Number(fields[12])) * TICK_MILLISECONDS;
}

/**
Returns the resident memory of a process in bytes.
*/
export function getResidentBytes(pid: number): number {
	const match = /VmRSS:\s+(?<kilobytes>\d+) kB/v.exec(fs.readFileSync(`/proc/${pid}/status`, 'utf8'));
	return Number(match?.groups?.kilobytes ?? 0) * 1024;
}
