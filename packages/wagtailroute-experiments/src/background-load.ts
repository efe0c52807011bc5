/**
The command `load` beside an experiment's faults, and what its report says.
*/
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as core from 'wagtailroute-core';
import type * as load from 'wagtailroute-load';
import * as children from './children.ts';

/**
What is sent.
*/
export type BackgroundLoad = {
	readonly program: string;
	readonly targets: readonly core.Address[];
	readonly service: string;
	readonly standins: readonly core.Address[];
	readonly requestsPerSecond: number;
	readonly seconds: number;
	readonly mix: unknown;
	readonly seed: number;
};

/**
What callers met.
*/
export type LoadVerdict = {
	readonly sent: number;
	/**
	Requests whose connection ended, or whose answer did, before it was whole; a refused connection carried none.
	*/
	readonly cutOff: number;
	readonly endings: load.TallyRecord['endings'];
	readonly statuses: load.TallyRecord['statuses'];
	readonly told: load.TallyRecord['told'];
	/**
	Share of the attempts that got a whole answer told as `ran`, beside refused connections.
	*/
	readonly answeredShare: number;
	readonly p50: number;
	readonly p99: number;
	readonly max: number;
	readonly truth: load.Truth;
};

/**
Runs the load to its end.
*/
export async function runBackgroundLoad(plan: BackgroundLoad): Promise<LoadVerdict> {
	const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'wagtailroute-mix-'));
	const mix = path.join(folder, 'mix.yaml');
	// JSON is YAML too.
	await fs.writeFile(mix, JSON.stringify(plan.mix));
	const report = await children.runLoad(plan.program, [
		'--targets',
		formatAddresses(plan.targets),
		'--service',
		plan.service,
		'--standins',
		formatAddresses(plan.standins),
		'--requests-per-second',
		String(plan.requestsPerSecond),
		'--seconds',
		String(plan.seconds),
		'--mix',
		mix,
		'--seed',
		String(plan.seed),
	]);
	await fs.rm(folder, {recursive: true, force: true});
	return describe(report as unknown as load.LoadResult);
}

function formatAddresses(addresses: readonly core.Address[]): string {
	return addresses.map(address => core.formatAddress(address)).join(',');
}

function describe({sent, record, truth}: load.LoadResult): LoadVerdict {
	const {endings, statuses, told, latencies} = record;
	return {
		sent,
		cutOff: endings.broken + endings['no-answer'] + endings['timed-out'],
		endings,
		statuses,
		told,
		answeredShare: told.ran / Math.max(1, record.attempts - endings.refused),
		p50: latencies.p50,
		p99: latencies.p99,
		max: latencies.max,
		truth,
	};
}
