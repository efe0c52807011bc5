/**
Tests of beliefs that outlast a restart.
*/
import * as files from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import test from 'ava';
import {createBeliefStore} from '../../belief-store.ts';
import {MAX_BELIEFS_AGE_MILLISECONDS} from '../../constants.ts';
import {startHostDispatcher} from '../../host-dispatcher.ts';
import * as fixture from './fixture.ts';

const BELIEFS = [{service: 'archive', upstream: 'u', doubt: 6}];
const SAVED_AT = 1_764_720_000_000;

const AGES = [
	{
		name: 'all when they are recent', later: 1500, beliefs: BELIEFS, age: 1500,
	},
	{
		name: 'all when the time of day has jumped back', later: -60_000, beliefs: BELIEFS, age: 0,
	},
	{
		name: 'none when they are too old', later: MAX_BELIEFS_AGE_MILLISECONDS + 1, beliefs: [], age: 0,
	},
];

for (const {name, later, beliefs, age} of AGES) {
	test(`beliefs are loaded after a restart: ${name}`, async t => {
		const folder = await files.mkdtemp(path.join(os.tmpdir(), 'beliefs-'));
		const log = fixture.createFakeContext().logs('beliefs');
		await createBeliefStore(folder, log, {getTimeOfDay: () => SAVED_AT}).load();
		await createBeliefStore(folder, log, {getTimeOfDay: () => SAVED_AT}).save(BELIEFS);
		t.deepEqual(await createBeliefStore(folder, log, {getTimeOfDay: () => SAVED_AT + later}).load(), {beliefs, ageMilliseconds: age});
		await files.rm(folder, {recursive: true});
	});
}

const DAMAGED = ['', '{"savedAt": 1, "bel', 'null', '{"savedAt": "now", "beliefs": []}', '{"savedAt": 1, "beliefs": [{"service": 1}]}'];

for (const text of DAMAGED) {
	test(`a file that holds ${JSON.stringify(text)} is ignored`, async t => {
		const folder = await files.mkdtemp(path.join(os.tmpdir(), 'beliefs-'));
		await files.writeFile(path.join(folder, 'beliefs.json'), text);
		const loaded = await createBeliefStore(folder, fixture.createFakeContext().logs('beliefs'), {getTimeOfDay: () => SAVED_AT}).load();
		t.deepEqual(loaded.beliefs, []);
		await files.rm(folder, {recursive: true});
	});
}

test('a dispatcher with merged beliefs sends no request that must not run twice to a suspended upstream', t => {
	// Guards against suspensions that only the dispatcher's memory holds: after a restart of the whole fleet, requests that must not
	// run twice were lost on upstreams that were suspended before and still failed.
	const context = fixture.createFakeContext();
	const dispatcher = startHostDispatcher(context, {
		...fixture.ONLY_DISPATCHER,
		settings: {budget: {ratio: 0.2, extra: 2, windowMilliseconds: 10_000}, floor: 0},
		listCandidates: () => ['u', 'v'].map(upstream => ({
			upstream, address: {ip: '10.0.0.1', port: 80}, failureDomain: 'x', slots: 1, isDraining: false, isSilent: false, warmAt: 0,
		})),
		listStandbys: () => [],
		notify: () => undefined,
		notifyControlHosts: () => undefined,
	});
	dispatcher.mergeBeliefs([...BELIEFS, {service: 'archive', upstream: 'v', doubt: 3.2}], 1500);
	t.deepEqual(dispatcher.listUpstreamReports('archive').map(({upstream, isSuspended}) => [upstream, isSuspended]), [['u', true], ['v', false]]);
	t.like(dispatcher.requestSlot({
		...fixture.SLOT_REQUEST_DRAFT, id: 'front:1', host: 'front', failureDomain: 'x',
	}), {kind: 'grant', upstream: 'v'});
});
