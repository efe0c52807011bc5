/**
Tests of the credit of the retry budget at the first use of a service: which hosts bring it, to whom, and among how many hosts it is divided.
*/
import test from 'ava';
import {createCreditHosts} from '../../credit-hosts.ts';
import {createFirstUses} from '../../first-uses.ts';
import * as fixture from './fixture.ts';
import {createCandidates, createPoolFleet, DOMAINS} from './pool-fixture.ts';

const WINDOW_MILLISECONDS = fixture.BUDGET.windowMilliseconds;

type UseCase = {
	readonly name: string;
	readonly uses: ReadonlyArray<readonly [service: string, now: number]>;
	readonly first: readonly boolean[];
};

const USE_CASES: readonly UseCase[] = [
	// Guards against the credit of an earlier process of the same host.
	{name: 'a host that has just started brings no credit', uses: [['archive', 9999], ['archive', 10_000]], first: [false, false]},
	{name: 'a host brings the credit of each service once', uses: [['archive', 10_000], ['archive', 10_001], ['media', 10_001]], first: [true, false, true]},
	// Guards against an earlier credit that a frozen dispatcher reads late.
	{name: 'a host that has used a service brings no credit after a quiet time', uses: [['archive', 10_000], ['archive', 90_000]], first: [true, false]},
];

for (const {name, uses, first} of USE_CASES) {
	test(name, t => {
		let now = 0;
		const firstUses = createFirstUses(() => now, WINDOW_MILLISECONDS);
		t.deepEqual(uses.map(([service, at]) => {
			now = at;
			return firstUses.recordUse(service);
		}), first);
	});
}

type CountCase = {
	readonly name: string;
	readonly counts: ReadonlyArray<readonly [hosts: number, now: number]>;
	readonly known: readonly number[];
};

const COUNT_CASES: readonly CountCase[] = [
	// Guards against parts that add up to more than the credit.
	{name: 'a control host that has just started knows no number of hosts', counts: [[3, 0], [3, 9999], [174, 10_000]], known: [0, 0, 174]},
	{name: 'a control host that is cut off from others divides by the hosts that it knew', counts: [[174, 5000], [80, 20_000]], known: [0, 174]},
	{name: 'without hosts there is no number', counts: [[0, 20_000]], known: [0]},
];

for (const {name, counts, known} of COUNT_CASES) {
	test(name, t => {
		let now = 0;
		let hosts = 0;
		const creditHosts = createCreditHosts(() => now, () => hosts, WINDOW_MILLISECONDS);
		t.deepEqual(counts.map(([count, at]) => {
			[hosts, now] = [count, at];
			creditHosts.refresh();
			return creditHosts.get();
		}), known);
	});
}

type FleetCase = {
	readonly name: string;
	readonly runningMilliseconds?: number;
	readonly creditHosts?: number;
	/**
	Control host that is lost after the first requests.
	*/
	readonly lost?: string;
	readonly isDividing?: (host: string) => boolean;
	/**
	Resends that are granted to a host of each failure domain after four requests of each domain, which add 0.8. The two hosts of a domain bring 0.67.
	*/
	readonly granted: readonly number[];
};

const FLEET_CASES: readonly FleetCase[] = [
	{name: 'each host brings its part to its own pool', granted: [1, 1, 1]},
	{name: 'hosts that have just started bring no credit', runningMilliseconds: 0, granted: [0, 0, 0]},
	{name: 'without a number of entry hosts there is no credit', creditHosts: 0, granted: [0, 0, 0]},
	// Guards against credit that is brought again to the dispatcher that replaces a lost one.
	{name: 'the part of a host is lost with its dispatcher', lost: 'control-x', granted: [0, 1, 1]},
	// Guards against credit of a host in the undivided record and in a pool.
	{name: 'hosts that do not divide bring their parts to the undivided record only', isDividing: host => !host.startsWith('front-x'), granted: [1, 1, 1]},
];

for (const {name, runningMilliseconds = WINDOW_MILLISECONDS, creditHosts = 6, lost, isDividing, granted} of FLEET_CASES) {
	test(name, async t => {
		const fleet = createPoolFleet({
			candidates: createCandidates({x: 8, y: 8, z: 8}), entriesPerDomain: 2, isDividing, countCreditHosts: () => creditHosts,
		});
		const request = async ({client}: typeof fleet.entries[number], isResend: boolean) =>
			client.requestSlot({...fixture.SLOT_REQUEST_DRAFT, isResend}).answer;
		const requestFromAll = async () => Promise.all(fleet.entries.map(async entry => request(entry, false)));

		await fleet.context.pass(runningMilliseconds);
		await requestFromAll();
		if (lost !== undefined) {
			fleet.lose(lost);
		}

		await requestFromAll();
		const resending = DOMAINS.map(domain => fleet.entries.find(({failureDomain}) => failureDomain === domain)!);
		const answers = await Promise.all(resending.map(async entry => Promise.all([request(entry, true), request(entry, true)])));
		t.deepEqual(answers.map(ofDomain => ofDomain.filter(({kind}) => kind === 'grant').length), granted);
	});
}
