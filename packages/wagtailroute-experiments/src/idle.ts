/**
What hosts spend when nothing happens: processor time and memory of control and entry hosts with a service and its
stand-ins, without callers.
*/
import * as timers from 'node:timers/promises';
import * as children from './children.ts';
import {openFixture, planHosts} from './fixture.ts';

const BASE_PORT = 24_600;
const STANDIN_PORT = 24_950;
const CONTROLS = 3;
const ENTRIES = 8;
const SETTLE_SECONDS = 10;
const MEASURE_SECONDS = 20;

/**
What one host spent.
*/
export type IdleRow = {
	readonly host: string;
	/**
	Processor time in percent of one core.
	*/
	readonly corePercent: number;
	readonly residentMegabytes: number;
};

/**
Runs the experiment.
*/
export async function runIdle(program: string): Promise<readonly IdleRow[]> {
	const fixture = await openFixture(program, planHosts({
		controls: CONTROLS, entries: ENTRIES, domains: 3, firstPort: BASE_PORT,
	}));
	await fixture.createEntry({name: 'idle', owner: 'experiment', routes: [{pathPrefix: '/', class: 'read'}]});
	const standins = await children.startStandinProcess({
		service: 'idle',
		count: 20,
		port: STANDIN_PORT,
		entryHosts: fixture.hosts.slice(CONTROLS).map(host => host.traffic),
	});
	try {
		await timers.setTimeout(SETTLE_SECONDS * 1000);
		const before = fixture.hosts.map(host => children.getProcessorMilliseconds(host.getPid()!));
		await timers.setTimeout(MEASURE_SECONDS * 1000);
		return fixture.hosts.map((host, index) => {
			const used = children.getProcessorMilliseconds(host.getPid()!) - before[index]!;
			return {
				host: host.plan.id,
				corePercent: used / (MEASURE_SECONDS * 10),
				residentMegabytes: Math.round(children.getResidentBytes(host.getPid()!) / 1e6),
			};
		});
	} finally {
		await standins.stop();
		await fixture.close();
	}
}
