/**
Three hosts and six stand-in backend servers answering 2,000 streamed requests at once, each caller with its own whole
answer; then one host is stopped under the same load.
*/
import * as crypto from 'node:crypto';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as core from 'wagtailroute-core';
import * as standin from 'wagtailroute-standin';
import * as undici from 'undici';
import * as operators from './operators.ts';
import * as processes from './processes.ts';

const BASE_PORT = 21_000;
const PORT_STEP = 10;
const REQUESTS = 2000;
const ANSWER_BYTES = 100_000;
const TOKEN = 'experiment';

const ENTRY = {
	name: 'media',
	owner: 'experiment',
	routes: [{pathPrefix: '/', class: 'read'}],
	limits: {
		concurrency: 3000, queueMilliseconds: 30_000, timeoutMilliseconds: 60_000, connectionsPerUpstream: 400,
	},
};

/**
What the experiment found.
*/
export type ThinPathResult = {
	readonly requests: number;
	readonly whole: number;
	readonly refused: number;
	readonly wrong: number;
	readonly milliseconds: number;
	readonly drainExitCode: number | null;
};

/**
Runs the experiment with a program.
*/
export async function runThinPath(program: string): Promise<ThinPathResult> {
	const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'wagtailroute-thin-'));
	const hosts = processes.createHostProcesses({
		program,
		folder,
		token: TOKEN,
		secret: crypto.randomUUID(),
		hosts: ['a', 'b', 'c'].map((name, index) => ({
			id: `host-${name}`,
			roles: 'entry,control',
			failureDomain: name,
			port: BASE_PORT + (index * PORT_STEP),
		})),
	});
	await Promise.all(hosts.map(async host => host.start()));
	const standins = await startStandins(hosts);
	try {
		return await measure(hosts);
	} finally {
		await Promise.all(standins.map(async started => started.stop()));
		await Promise.all(hosts.map(async host => host.kill()));
		await fs.rm(folder, {recursive: true, force: true});
	}
}

async function startStandins(hosts: readonly processes.HostProcess[]): Promise<readonly standin.Standin[]> {
	await createEntry(hosts);
	const standins = Array.from({length: 6}, (_, index) => standin.createStandin({
		id: `media-${index}`,
		service: 'media',
		address: {ip: '127.0.0.1', port: 0},
		failureDomain: ['a', 'b', 'c'][index % 3]!,
		slots: 400,
		connections: 1200,
		announceTo: () => hosts.map(host => host.traffic),
		seed: index,
	}));
	await Promise.all(standins.map(async started => started.start()));
	return standins;
}

async function createEntry(hosts: readonly processes.HostProcess[]): Promise<void> {
	const created = await operators.sendChange(hosts[1]!.admin, TOKEN, {entry: ENTRY, expected: 0});
	const milliseconds = await operators.waitForRevision(hosts.map(host => host.admin), created.revision, 10_000);
	console.log(`entry created: status ${created.status}, in force on all hosts after ${milliseconds?.toFixed(0)} ms`);
}

async function measure(hosts: readonly processes.HostProcess[]): Promise<ThinPathResult> {
	const agent = new undici.Agent({connections: 800, headersTimeout: 60_000, bodyTimeout: 60_000});
	const startedAt = performance.now();
	let drained: Promise<number | null> | undefined;
	const answers = await Promise.all(Array.from({length: REQUESTS}, async (_, index) => {
		if (index === REQUESTS / 2) {
			drained = hosts[2]!.stop();
		}

		return request(agent, hosts[index % hosts.length]!.traffic, index);
	}));
	const milliseconds = performance.now() - startedAt;
	const drainExitCode = await drained!;
	await agent.close();
	return {
		requests: REQUESTS,
		whole: answers.filter(answer => answer === 'whole').length,
		refused: answers.filter(answer => answer === 'refused').length,
		wrong: answers.filter(answer => answer === 'wrong').length,
		milliseconds,
		drainExitCode,
	};
}

async function request(agent: undici.Agent, host: core.Address, index: number): Promise<'whole' | 'refused' | 'wrong'> {
	const id = `request-${index}`;
	const answer = await undici.request(`http://${core.formatAddress(host)}/bytes/${ANSWER_BYTES}?seed=${index}`, {
		dispatcher: agent,
		headers: {'x-request-id': id},
	});
	const hash = crypto.createHash('sha256');
	let size = 0;
	for await (const chunk of answer.body as AsyncIterable<Uint8Array>) {
		hash.update(chunk);
		size += chunk.length;
	}

	if (answer.statusCode !== 200) {
		return answer.headers['wagtailroute-outcome'] === 'not-run' ? 'refused' : 'wrong';
	}

	const isOwn = answer.headers['x-request-id'] === id;
	const isWhole = size === ANSWER_BYTES && hash.digest('hex') === standin.digestGeneratedBytes(index, ANSWER_BYTES);
	return isOwn && isWhole ? 'whole' : 'wrong';
}
