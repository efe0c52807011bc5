/**
An entry host gets SIGTERM while requests run at sound upstreams whose connections are all in use. It must let them finish.
*/
import * as http from 'node:http';
import process from 'node:process';
import * as timers from 'node:timers/promises';
import {type Outcome, sendRequest} from '../lib-2/callers.ts';
import {
	createDocument,
	type Deployment,
	putDocument,
	runCase,
	waitUntilReady,
} from '../lib-2/fleet.ts';
import {startUpstream} from '../lib-2/upstream.ts';

const isTroubled = process.env.TROUBLE !== '0';
const UPSTREAMS = 2;
const SLOTS = 4;
const ENTRIES = 2;
/**
As many as both entry hosts need for all slots.
*/
const MAX_CONNECTIONS = ENTRIES * SLOTS;
const USUAL_MILLISECONDS = 300;
/**
The longest work of a transfer on the sheet.
*/
const LONG_MILLISECONDS = 2200;
const DEADLINE_MILLISECONDS = 2500;

async function sendMany(deployment: Deployment, {host, path, prefix, count}: {
	readonly host: number;
	readonly path: string;
	readonly prefix: string;
	readonly count: number;
}): Promise<readonly Outcome[]> {
	const agent = new http.Agent({keepAlive: true});
	const outcomes = await Promise.all(Array.from({length: count}, async (_, index) => sendRequest(deployment, {
		ip: deployment.entries[host]!.ip, id: `${prefix}-${index}`, path: `/transfer/${path}-${index}`, deadlineMs: DEADLINE_MILLISECONDS, agent,
	})));
	agent.destroy();
	return outcomes;
}

await runCase({folder: import.meta.dirname, controls: 3, entries: ENTRIES}, async deployment => {
	const {entries, record} = deployment;
	// The control hosts have found one another by then.
	await timers.setTimeout(3000);
	const upstreams = await Promise.all(Array.from({length: UPSTREAMS}, async (_, index) => startUpstream(deployment, {
		id: `u-${index + 1}`,
		service: 'arkiv',
		ip: deployment.createIp(100 + index),
		slots: SLOTS,
		maxConnections: MAX_CONNECTIONS,
		getWork: url => url.includes('long') ? LONG_MILLISECONDS : USUAL_MILLISECONDS,
	})));
	await putDocument(deployment, createDocument(1, [{name: 'transfer', type: 'unsafe', service: 'arkiv'}], {arkiv: MAX_CONNECTIONS}));
	for (const entry of entries) {
		// eslint-disable-next-line no-await-in-loop -- One after the other.
		await waitUntilReady(entry);
	}

	await timers.setTimeout(5000);
	// The hosts learn what transfers usually take, and open their connections.
	for (let round = 0; round < 6; round++) {
		for (const host of entries.keys()) {
			// eslint-disable-next-line no-await-in-loop -- One host after the other.
			const outcomes = await sendMany(deployment, {
				host, path: 'usual', prefix: `usual-${round}-${host}`, count: UPSTREAMS * SLOTS,
			});
			record(`Usual transfers at ${entries[host]!.name}: ${outcomes.map(({status}) => status).join(' ')}`);
		}
	}

	const pending = sendMany(deployment, {
		host: 0, path: 'long', prefix: 'long', count: UPSTREAMS * SLOTS,
	});
	await timers.setTimeout(300);
	record(`Connections at the upstreams: ${upstreams.map(({countConnections}) => countConnections()).join(' ')}; reset so far: ${upstreams.map(({countResets}) => countResets()).join(' ')}`);
	let stoppedAt = Infinity;
	if (isTroubled) {
		entries[0]!.signal('SIGTERM');
		stoppedAt = performance.now();
		record(`${entries[0]!.name} gets SIGTERM.`);
	}

	const outcomes = await pending;
	const runs = new Map(upstreams.flatMap(({id, runs: ran}) => ran.map(run => [run.requestId, {...run, upstream: id}] as const)));
	const broken = outcomes.filter(({id, status, stamp, answeredAt, text}) => {
		const run = runs.get(id);
		const isBrokenOff = stamp === undefined && run?.startedAt !== undefined && answeredAt < run.startedAt + LONG_MILLISECONDS;
		record(`${id}: ${run === undefined ? 'not run' : `at work at ${run.upstream}`}, answered ${status}${stamp === undefined ? ` by the system: ${text}` : ` with the stamp ${stamp}`}`
			+ (isBrokenOff ? `, ${Math.round(run.startedAt + LONG_MILLISECONDS - answeredAt)} ms before its upstream would have been done` : ''));
		return isBrokenOff && answeredAt > stoppedAt;
	});
	record(`Connections reset: ${upstreams.map(({countResets}) => countResets()).join(' ')}. Broken off after SIGTERM: ${broken.length} of ${outcomes.length}.`);
	return broken.length === 0;
});
