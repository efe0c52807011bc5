/**
A fleet for an experiment: its folder, its host processes and one entry, removed at the end.
*/
import * as crypto from 'node:crypto';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as operators from './operators.ts';
import * as processes from './processes.ts';

/**
Operator token of every experiment.
*/
export const TOKEN = 'experiment';

/**
A running fleet.
*/
export type Fixture = {
	readonly hosts: readonly processes.HostProcess[];
	/**
	Creates an entry and waits until it is in force on all hosts; returns its revision.
	*/
	readonly createEntry: (entry: operators.EntryDocument) => Promise<number>;
	readonly close: () => Promise<void>;
};

const IN_FORCE_MILLISECONDS = 15_000;

/**
Ports between the first ports of two hosts.
*/
const PORT_STEP = 10;

/**
Plans a fleet of control hosts, which come first, and entry hosts, spread over failure domains.
*/
export function planHosts({controls, entries, domains, firstPort}: {
	readonly controls: number;
	readonly entries: number;
	readonly domains: number;
	readonly firstPort: number;
}): readonly processes.ProcessPlan[] {
	return Array.from({length: controls + entries}, (_, index) => ({
		id: index < controls ? `control-${index}` : `entry-${index - controls}`,
		roles: index < controls ? 'control' : 'entry',
		failureDomain: `domain-${index % domains}`,
		port: firstPort + (index * PORT_STEP),
	}));
}

/**
Starts a fleet.
*/
export async function openFixture(
	program: string,
	hosts: readonly processes.ProcessPlan[],
): Promise<Fixture> {
	const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'wagtailroute-experiment-'));
	const started = processes.createHostProcesses({
		program,
		folder,
		token: TOKEN,
		secret: crypto.randomUUID(),
		hosts,
	});
	try {
		await Promise.all(started.map(async host => host.start()));
	} catch (error) {
		// Hosts that did start would go on running without anybody to end them.
		await Promise.all(started.filter(host => host.isRunning()).map(async host => host.kill()));
		throw error;
	}

	return {
		hosts: started,
		async createEntry(entry) {
			const created = await operators.sendChange(started[0]!.admin, TOKEN, {entry, expected: 0});
			await operators.waitForRevision(started.map(host => host.admin), created.revision, IN_FORCE_MILLISECONDS);
			return created.revision;
		},
		async close() {
			await Promise.all(started.map(async host => host.kill()));
			if (process.env.KEEP_LOGS === undefined) {
				await fs.rm(folder, {recursive: true, force: true});
			}
		},
	};
}
