/**
Histories of a service's dispatchers and entry hosts, for the tests of the retry budget.
*/
import * as fc from 'fast-check';
import * as dispatch from '../../index.ts';
import {createCandidate, createDispatcher, createSlotRequest} from './fixture.ts';

export const BUDGET = {ratio: 0.2, extra: 20, windowMilliseconds: 10_000};
const ASKED_MILLISECONDS = 1000;
const HOSTS = 8;
const DISPATCHERS = 4;

/**
Requests and resends of some hosts over some time, and what happens before it.
*/
export type Step = {
	readonly milliseconds: number;
	readonly requests: number;
	readonly resends: number;
	/**
	`freeze` stops a dispatcher's clock for this step, and `stall` until `resume`: what hosts send to it meanwhile is read then. `understate`: a dispatcher knows half
	of the hosts.
	*/
	readonly change: 'none' | 'restart' | 'replace' | 'divide' | 'freeze' | 'stall' | 'resume' | 'understate' | 'restart-hosts' | 'pause-hosts';
	readonly dispatcher: number;
	readonly hosts: keyof typeof HOST_RANGES;
};

const HOST_RANGES = {all: [0, HOSTS], few: [0, 2], others: [2, HOSTS]} as const;

export const NO_STEP: Step = {
	milliseconds: 200, requests: 0, resends: 0, change: 'none', dispatcher: 1, hosts: 'all',
};

/**
Repeats a step, or several in turn, with one dispatcher after the other.
*/
export function repeat(times: number, steps: Partial<Step> | ReadonlyArray<Partial<Step>>): ReadonlyArray<Partial<Step>> {
	return Array.from({length: times}, (_, index) => [steps].flat().map(step => ({...step, dispatcher: index % DISPATCHERS}))).flat();
}

export const createSteps = (changes: ReadonlyArray<Step['change']>): fc.Arbitrary<readonly Step[]> => fc.array(fc.record({
	milliseconds: fc.constantFrom(20, 200, 700, 1100, 3000),
	requests: fc.constantFrom(0, 3, 40, 200),
	resends: fc.constantFrom(0, 5, 60, 200),
	change: fc.constantFrom(...changes),
	dispatcher: fc.nat(DISPATCHERS - 1),
	hosts: fc.constant('all'),
}), {minLength: 4, maxLength: 16});

/**
A service that some hosts use first, and others after some time. Few requests earn resends, so that credit makes up most of what is granted.
*/
export const createFirstUseSteps = (changes: ReadonlyArray<Step['change']>): fc.Arbitrary<readonly Step[]> => fc.array(fc.record({
	milliseconds: fc.constantFrom(20, 20, 200, 200, 700, 11_000),
	requests: fc.constantFrom(0, 0, 0, 3, 40),
	resends: fc.constantFrom(5, 60, 60),
	change: fc.constantFrom(...changes),
	dispatcher: fc.nat(DISPATCHERS - 1),
	hosts: fc.constantFrom('all', 'all', 'few', 'others'),
}), {minLength: 4, maxLength: 30});

/**
An entry host as far as credit depends on it.
*/
type Entry = {
	startedAt: number;
	/**
	Milliseconds in which its clock stood still.
	*/
	pausedMilliseconds: number;
	hasRun: boolean;
	hasUsed: boolean;
};

/**
Rules of the credit; the tests replace them by wrong ones.
*/
export type Version = {
	readonly creditPart: number;
	/**
	Returns whether the next request of a host brings credit.
	*/
	readonly claims: (entry: Entry) => boolean;
	readonly isCreditedAgain: boolean;
};

export const PRESENT: Version = {
	creditPart: dispatch.DEFAULT_POLICY.resendCreditPart, claims: ({hasRun, hasUsed}) => hasRun && !hasUsed, isCreditedAgain: false,
};

export type PlayedHistory = dispatch.AuditedTimes & {
	/**
	Requests that brought credit.
	*/
	readonly credits: number;
};

export function getHistoryExcess(played: PlayedHistory): number {
	return dispatch.getExcess(dispatch.findWorstWindow(played, BUDGET));
}

export const createTestDispatcher = (
	getBudgetShare: (now: number) => number = () => 1,
	settings: Partial<dispatch.DispatcherSettings> = {},
): dispatch.Dispatcher => createDispatcher([createCandidate('a', {slots: 1e6})], {budget: BUDGET, getBudgetShare, ...settings});

/**
Requests a slot and gives it back at once. Returns whether it was granted.
*/
export const useSlot = (dispatcher: dispatch.Dispatcher, request: dispatch.SlotRequest, now: number): boolean => {
	dispatcher.collectCredit(request.service, request, now);
	const isGranted = dispatcher.requestSlot(request, now).some(({kind}) => kind === 'grant');
	dispatcher.end(request.id, {ending: 'success', milliseconds: 1}, now);
	return isGranted;
};

/**
A dispatcher and the hosts that asked it, by its own clock, which stands still while it is frozen.
*/
type Member = {
	readonly dispatcher: dispatch.Dispatcher;
	readonly askedAt: Map<number, number>;
	frozenMilliseconds: number;
	stalledAt?: number;
	/**
	What it has yet to read.
	*/
	readonly unread: Array<() => void>;
	knownHosts: number;
};

function createMember(version: Version): Member {
	const askedAt = new Map<number, number>();
	const getShare = (now: number) => askedAt.values().filter(at => now - at <= ASKED_MILLISECONDS).toArray().length / HOSTS;
	const member: Member = {
		dispatcher: createTestDispatcher(getShare, {
			policy: {...dispatch.DEFAULT_POLICY, resendCreditPart: version.creditPart}, getCreditShares: () => ({host: 1 / member.knownHosts, most: 1}),
		}),
		askedAt,
		frozenMilliseconds: 0,
		unread: [],
		knownHosts: HOSTS,
	};
	return member;
}

/**
Plays a history of hosts that have run for two windows when it begins.
*/
export function play(steps: readonly Step[], version: Version = PRESENT): PlayedHistory {
	const members = Array.from({length: DISPATCHERS}, () => createMember(version));
	const entries = Array.from({length: HOSTS}, (): Entry => ({
		startedAt: 0, pausedMilliseconds: 0, hasRun: true, hasUsed: false,
	}));
	const asked: number[] = Array.from({length: HOSTS}, () => 0);
	const requests: number[] = [];
	const resends: number[] = [];
	let now = 2 * BUDGET.windowMilliseconds;
	let count = 0;
	let credits = 0;

	const changes: Readonly<Record<Step['change'], (dispatcher: number, milliseconds: number) => void>> = {
		none: () => undefined,
		restart(dispatcher) {
			members[dispatcher] = createMember(version);
			asked.fill(dispatcher);
		},
		replace(dispatcher) {
			asked.fill(dispatcher);
		},
		divide(dispatcher) {
			asked.fill(dispatcher, 0, HOSTS / 2);
		},
		freeze(dispatcher, milliseconds) {
			members[dispatcher]!.frozenMilliseconds += milliseconds;
			asked.fill((dispatcher + 1) % DISPATCHERS);
		},
		stall(dispatcher) {
			members[dispatcher]!.stalledAt ??= now;
		},
		resume(dispatcher) {
			const member = members[dispatcher]!;
			member.frozenMilliseconds += now - (member.stalledAt ?? now);
			member.stalledAt = undefined;
			for (const read of member.unread.splice(0)) {
				read();
			}

			asked.fill(dispatcher);
		},
		understate(dispatcher) {
			members[dispatcher]!.knownHosts = HOSTS / 2;
		},
		'restart-hosts'() {
			for (const entry of entries) {
				Object.assign(entry, {startedAt: now, pausedMilliseconds: 0, hasUsed: false});
			}
		},
		'pause-hosts'(_, milliseconds) {
			for (const entry of entries) {
				entry.pausedMilliseconds += milliseconds;
			}
		},
	};

	const send = (host: number, request: dispatch.SlotRequest): boolean => {
		const member = members[asked[host]!]!;
		const {dispatcher, askedAt, frozenMilliseconds} = member;
		if (member.stalledAt !== undefined) {
			member.unread.push(() => {
				const own = now - member.frozenMilliseconds;
				askedAt.set(host, own);
				dispatcher.collectCredit(request.service, request, own);
				dispatcher.requestSlot(request, own);
				// The host has sent it to another dispatcher meanwhile.
				dispatcher.cancel(request.id, own);
				dispatcher.end(request.id, {ending: 'unused', milliseconds: 0}, own);
			});
			asked[host] = (asked[host]! + 1) % DISPATCHERS;
			const isAnyAwake = members.some(({stalledAt}) => stalledAt === undefined);
			return isAnyAwake && send(host, {
				...request, id: `${request.id}+`, isAgain: true, isFirstUse: version.isCreditedAgain && request.isFirstUse === true,
			});
		}

		const own = now - frozenMilliseconds;
		askedAt.set(host, own);
		return useSlot(dispatcher, request, own);
	};

	const ask = (isResend: boolean, hosts: Step['hosts']) => {
		count++;
		const [first, end] = HOST_RANGES[hosts];
		const host = first + (count % (end - first));
		const entry = entries[host]!;
		entry.hasRun = now - entry.startedAt - entry.pausedMilliseconds >= BUDGET.windowMilliseconds;
		const isFirstUse = version.claims(entry);
		entry.hasUsed = true;
		credits += isFirstUse ? 1 : 0;
		const isGranted = send(host, createSlotRequest(String(count), {host: String(host), isResend, isFirstUse}));
		if (!isResend) {
			requests.push(now);
		} else if (isGranted) {
			resends.push(now);
		}
	};

	for (const {milliseconds, requests: requestCount, resends: resendCount, change, dispatcher, hosts} of steps) {
		changes[change](dispatcher, milliseconds);
		const total = requestCount + resendCount;
		for (let index = 0; index < total; index++) {
			now += milliseconds / total;
			ask(index * resendCount % total < resendCount, hosts);
		}

		now += total === 0 ? milliseconds : 0;
	}

	return {requests, resends, credits};
}
