/**
Tests of the admission on a host: queued requests and the shares of the fleet's limits.
*/
import * as timers from 'node:timers/promises';
import test from 'ava';
import * as catalogue from 'wagtailroute-catalogue';
import type * as proxy from 'wagtailroute-proxy';
import {createServiceAdmission} from '../../service-admission.ts';
import {startShareLeases} from '../../share-leases.ts';
import {createFakeRecords, type FakeRecords} from './fake-records.ts';

const REQUEST: proxy.AdmissionRequest = {organisation: 'o', remainingMilliseconds: 1000, requestClass: 'read'};
const RELEASE: proxy.AdmissionRelease = {organisation: 'o', latencyMilliseconds: 5, ending: 'completed'};

function createEntry(limits: Record<string, number>): catalogue.Entry {
	return catalogue.parseEntry({
		name: 's', owner: 'team', routes: [{pathPrefix: '/', class: 'read'}], limits,
	}).unwrap();
}

function createHost(cell: FakeRecords, name: string, entry: catalogue.Entry, carriers = 1) {
	const context = cell.createContext(name);
	const admitter = createServiceAdmission(context, entry, startShareLeases(context, cell.propose));
	admitter.setCapacity(1000, carriers);
	return admitter;
}

/**
Requests admission and waits for the decision; undefined when admitted.
*/
async function admit(admitter: ReturnType<typeof createHost>): Promise<proxy.RequestFailure | undefined> {
	const admitted = admitter.admit(REQUEST);
	return admitted !== undefined && 'result' in admitted ? admitted.result : admitted;
}

/**
Requests all admissions at once and advances time until each is decided.
*/
async function admitAll(cell: FakeRecords, admitters: ReadonlyArray<ReturnType<typeof createHost>>): Promise<ReadonlyArray<proxy.RequestFailure | undefined>> {
	const answers: Array<proxy.RequestFailure | undefined> = [];
	for (const admitter of admitters) {
		void collect(answers, admitter);
	}

	while (answers.length < admitters.length) {
		cell.advance(10);
		// eslint-disable-next-line no-await-in-loop -- Lets the decided requests continue.
		await timers.setImmediate();
	}

	return answers;
}

async function collect(answers: Array<proxy.RequestFailure | undefined>, admitter: ReturnType<typeof createHost>): Promise<void> {
	answers.push(await admit(admitter));
}

test('the first request waits for the shares and is admitted when they are known', async t => {
	const admitter = createHost(createFakeRecords(), 'h1', createEntry({concurrency: 4}));
	t.is(await admit(admitter), undefined);
});

test('hosts that start together stay within the limit from the first request on', async t => {
	// Guards against a limit of 8 that admits 24 requests when three hosts start, because each uses the whole limit before it
	// has leased its share.
	const cell = createFakeRecords();
	const hosts = ['h1', 'h2', 'h3'].map(name => createHost(cell, name, createEntry({concurrency: 8, queueMilliseconds: 0}), 3));
	const answers = await admitAll(cell, hosts.flatMap(host => Array.from({length: 8}, () => host)));
	const admitted = answers.filter(answer => answer === undefined).length;
	t.true(admitted > 0 && admitted <= 8, String(admitted));
});

test('a queued request that is cancelled leaves its place in the queue to the next', async t => {
	const admitter = createHost(createFakeRecords(), 'h1', createEntry({concurrency: 4, queueMilliseconds: 1000}));
	let inFlight = 0;
	let queued = await fillUntilQueued(admitter, () => {
		inFlight++;
	});
	const next = admitter.admit(REQUEST) as proxy.PendingAdmission;
	queued.cancel();
	const refusal = await queued.result;
	t.is(refusal?.kind, 'deadline-before-send');
	admitter.release(RELEASE);
	t.is(await next.result, undefined, 'the slot of the request that ended is granted to the next one');
	queued = admitter.admit(REQUEST) as proxy.PendingAdmission;
	t.true('result' in queued, `all ${inFlight} slots are in use`);
});

async function fillUntilQueued(admitter: ReturnType<typeof createHost>, onAdmitted: () => void): Promise<proxy.PendingAdmission> {
	await admit(admitter);
	onAdmitted();
	for (;;) {
		const admitted = admitter.admit(REQUEST);
		if (admitted !== undefined && 'result' in admitted) {
			return admitted;
		}

		onAdmitted();
	}
}

test('a host that cannot reach the records from its start admits up to its safe share', async t => {
	const cell = createFakeRecords();
	cell.isUnreachable = true;
	const admitter = createHost(cell, 'h1', createEntry({concurrency: 8, queueMilliseconds: 0}));
	const answers = await admitAll(cell, Array.from({length: 8}, () => admitter));
	t.is(answers.filter(answer => answer === undefined).length, 2);
});
