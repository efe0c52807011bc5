/**
Requests that crash backend servers, sent through several hosts, against the real records.
*/
import test from 'ava';
import type * as proxy from 'wagtailroute-proxy';
import * as utils from 'wagtailroute-utils';
import {startCrashGuard} from '../../crash-guard.ts';
import {listSuspects, SUSPECT_CHANGE_METHOD} from '../../quarantine-updates.ts';
import {createFakeRecords, type FakeRecords} from './fake-records.ts';

const SERVICE = 's';
const HOSTS = ['h1', 'h2', 'h3'];
const UPSTREAMS = ['u1', 'u2', 'u3', 'u4', 'u5', 'u6'];
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

type Fleet = {
	readonly fakeRecords: FakeRecords;
	readonly guards: readonly proxy.CrashGuard[];
	readonly crashed: Set<string>;
};

function createFleet(): Fleet {
	const fakeRecords = createFakeRecords((tables, notice) => {
		utils.invariant(notice.kind === 'fingerprint', 'nothing is ejected here');
		const entry = tables.getService(notice.service)?.quarantine.entries.find(({fingerprint}) => fingerprint === notice.change.fingerprint);
		const milliseconds = (entry?.until ?? 0) - tables.getGroupTime();
		return {method: SUSPECT_CHANGE_METHOD, parameters: {service: notice.service, ...notice.change, milliseconds}};
	});
	const crashed = new Set<string>();
	const guards = HOSTS.map(host => startCrashGuard(fakeRecords.createContext(host), {
		propose: fakeRecords.propose,
		isRefusing: async address => crashed.has(address.ip),
	}).guard);
	return {fakeRecords, guards, crashed};
}

function createTarget(id: string): proxy.Target {
	return {id, kind: 'upstream', address: {ip: id, port: 1}};
}

/**
Sends a request as the proxy does. `isCulprit`: the request crashes the server that runs it.
*/
async function send(fleet: Fleet, {host, upstream, fingerprint, isCulprit}: {
	readonly host: number;
	readonly upstream: string;
	readonly fingerprint: string;
	readonly isCulprit: boolean;
}): Promise<string> {
	const guard = fleet.guards[host]!;
	const status = guard.getQuarantineStatus(SERVICE, fingerprint);
	if (status === 'quarantined' || fleet.crashed.has(upstream)) {
		return status;
	}

	const trial = status === 'free'
		? undefined
		: await guard.requestTrial({
			service: SERVICE, fingerprint, upstream, budgetMilliseconds: 1000,
		});
	if (trial?.kind === 'refused' || trial?.kind === 'busy') {
		return trial.kind === 'busy' ? 'busy' : trial.failure.kind;
	}

	const granted = trial?.kind === 'granted' ? trial : undefined;
	if (!isCulprit) {
		guard.recordSurvival(SERVICE, fingerprint);
		granted?.end('completed');
		return 'answered';
	}

	fleet.crashed.add(upstream);
	await guard.detectCrash({
		service: SERVICE, target: createTarget(upstream), fingerprint, isOnTrial: granted !== undefined,
	});
	granted?.end('lost');
	return 'crashed';
}

test('a crashing request costs two upstreams at most, though it is resent through every host', async t => {
	// If each host knew only the crashes that it saw, a request resent through other hosts would crash one server after the
	// other.
	for (const seed of SEEDS) {
		const random = utils.createRandom(seed);
		const fleet = createFleet();
		// eslint-disable-next-line no-await-in-loop -- The first send is alone, because copies sent at the same moment can't be bounded.
		await send(fleet, {
			host: 0, upstream: 'u1', fingerprint: 'boom', isCulprit: true,
		});
		for (let round = 0; round < 5; round++) {
			const sends = HOSTS.flatMap((_name, host) => [1, 2].map(() => ({
				host, upstream: UPSTREAMS[utils.pickIndex(random, UPSTREAMS.length)]!, fingerprint: 'boom', isCulprit: true,
			})));
			// eslint-disable-next-line no-await-in-loop -- The rounds run one after the other.
			await Promise.all(sends.map(async request => send(fleet, request)));
		}

		t.true(fleet.crashed.size <= 2, `seed ${seed}`);
		t.true(fleet.guards.every(guard => guard.getQuarantineStatus(SERVICE, 'boom') === 'quarantined'), `seed ${seed}`);
	}
});

test('a request that a server survived is no suspect, others are cleared by a trial', async t => {
	const fleet = createFleet();
	const [guard] = fleet.guards;
	await send(fleet, {
		host: 0, upstream: 'u2', fingerprint: 'popular', isCulprit: false,
	});
	fleet.crashed.add('u1');
	const target = createTarget('u1');
	await Promise.all(['boom', 'popular', 'once'].map(async fingerprint => guard!.detectCrash({
		service: SERVICE, target, fingerprint, isOnTrial: false,
	})));
	t.is(fleet.guards[1]!.getQuarantineStatus(SERVICE, 'popular'), 'free');
	t.is(fleet.guards[1]!.getQuarantineStatus(SERVICE, 'once'), 'suspect');
	t.is(await send(fleet, {
		host: 2, upstream: 'u3', fingerprint: 'once', isCulprit: false,
	}), 'answered');
	t.true(fleet.guards.every(other => other.getQuarantineStatus(SERVICE, 'once') === 'free'));
});

test('a survival excuses one crash, not later ones', async t => {
	// A request that was once answered can crash servers after the data that it reads changed, so a survival must not
	// excuse it for good.
	const fleet = createFleet();
	const request = {host: 0, fingerprint: 'turned', isCulprit: true};
	await send(fleet, {...request, upstream: 'u1', isCulprit: false});
	for (const upstream of UPSTREAMS) {
		// eslint-disable-next-line no-await-in-loop -- The resends are sequential.
		await send(fleet, {...request, upstream});
	}

	t.is(fleet.crashed.size, 3);
	t.is(fleet.guards[1]!.getQuarantineStatus(SERVICE, 'turned'), 'quarantined');
});

test('a connection lost without a crash makes no suspect', async t => {
	const fleet = createFleet();
	const hasCrashed = await fleet.guards[0]!.detectCrash({
		service: SERVICE, target: createTarget('u1'), fingerprint: 'x', isOnTrial: false,
	});
	t.false(hasCrashed);
	t.is(fleet.guards[0]!.getQuarantineStatus(SERVICE, 'x'), 'free');
});

test('a suspect is not sent while the records are unreachable, and is free again when they know nothing of it', async t => {
	const fleet = createFleet();
	fleet.fakeRecords.isUnreachable = true;
	const request = {
		host: 0, upstream: 'u1', fingerprint: 'boom', isCulprit: true,
	};
	await send(fleet, request);
	t.is(await send(fleet, {...request, upstream: 'u2'}), 'trial-busy');
	t.is(fleet.crashed.size, 1);
	fleet.fakeRecords.isUnreachable = false;
	t.is(await send(fleet, {...request, upstream: 'u2', isCulprit: false}), 'answered');
	t.is(fleet.guards[0]!.getQuarantineStatus(SERVICE, 'boom'), 'free');
});

test('a host that missed a change gets the suspects of newer versions', async t => {
	const fleet = createFleet();
	await send(fleet, {
		host: 0, upstream: 'u1', fingerprint: 'boom', isCulprit: true,
	});
	const {records} = fleet.fakeRecords.machine;
	t.is(listSuspects(records, {versions: {[SERVICE]: 0}}).services[0]?.suspects[0]?.standing, 'suspect');
	t.deepEqual(listSuspects(records, {versions: {[SERVICE]: 1}}).services, []);
});
