/**
Ways to keep a retry budget over all dispatchers of a service, on histories in which dispatchers and entry hosts restart, are replaced and divided. Compared are the
resends beyond the budget of any window, and the part of the resends that is refused.
*/
import * as utils from 'wagtailroute-utils';
import {createBudget, type BudgetSettings} from '../budget.ts';
import {findWorstWindow, getExcess} from '../budget-audit.ts';
import {DEFAULT_POLICY} from '../policy.ts';
import {createRecentCounts} from '../recent-counts.ts';

const SETTINGS: BudgetSettings = {ratio: 0.2, extra: 62, windowMilliseconds: 10_000};
const HOSTS = 20;
const DISPATCHERS = 5;
const REQUESTS_PER_SECOND = 120;
const HISTORY_MILLISECONDS = 40_000;
const HISTORIES = 40;
const MAX_RESENDS = 2;
const ASKED_MILLISECONDS = 1000;
const SLICE_MILLISECONDS = 500;
const MILLISECONDS_PER_SECOND = 1000;
const SEED = 11;

/**
An attempt of a host's request at a dispatcher.
*/
type Attempt = {
	readonly host: number;
	readonly dispatcher: number;
	readonly now: number;
};

/**
One way to keep the budget.
*/
type Way = {
	readonly countRequest: (attempt: Attempt) => void;
	readonly consumeResend: (attempt: Attempt) => boolean;
	readonly restartDispatcher: (dispatcher: number) => void;
	readonly restartHost: (host: number) => void;
};

const doNothing = () => undefined;

/**
Each dispatcher counts its own requests and resends of the last window.
*/
function createCountingWay(ratioPart: number, extraPart: number): Way {
	const create = () => createRecentCounts({requests: 0, resends: 0}, {windowMilliseconds: SETTINGS.windowMilliseconds, sliceMilliseconds: SLICE_MILLISECONDS});
	const counts = Array.from({length: DISPATCHERS}, create);
	return {
		countRequest({dispatcher, now}) {
			counts[dispatcher]!.add('requests', now);
		},
		consumeResend({dispatcher, now}) {
			const {requests, resends} = counts[dispatcher]!.sum(now);
			const isAllowed = resends + 1 <= (SETTINGS.ratio * requests * ratioPart) + (SETTINGS.extra * extraPart);
			if (isAllowed) {
				counts[dispatcher]!.add('resends', now);
			}

			return isAllowed;
		},
		restartDispatcher(dispatcher) {
			counts[dispatcher] = create();
		},
		restartHost: doNothing,
	};
}

/**
Each host counts its own requests and resends, and tells them to the dispatcher that it turns to; this one adds up those of the hosts that ask it.
*/
function createHandedOverWay(): Way {
	const create = () => createRecentCounts({requests: 0, resends: 0}, {windowMilliseconds: SETTINGS.windowMilliseconds, sliceMilliseconds: SLICE_MILLISECONDS});
	const counts = Array.from({length: HOSTS}, create);
	const asked = new Map<number, {readonly dispatcher: number; readonly at: number}>();
	return {
		countRequest({host, dispatcher, now}) {
			asked.set(host, {dispatcher, at: now});
			counts[host]!.add('requests', now);
		},
		consumeResend({host, dispatcher, now}) {
			asked.set(host, {dispatcher, at: now});
			const present = asked.entries().filter(([, last]) => last.dispatcher === dispatcher).map(([other]) => counts[other]!.sum(now)).toArray();
			const requests = present.reduce((sum, count) => sum + count.requests, 0);
			const resends = present.reduce((sum, count) => sum + count.resends, 0);
			const isAllowed = resends + 1 <= (SETTINGS.ratio * requests) + (SETTINGS.extra * present.length / HOSTS);
			if (isAllowed) {
				counts[host]!.add('resends', now);
			}

			return isAllowed;
		},
		restartDispatcher: doNothing,
		restartHost(host) {
			counts[host] = create();
		},
	};
}

/**
Each host has a bucket of its own.
*/
function createHostBucketWay(): Way {
	const tokens = Array.from({length: HOSTS}, () => 0);
	const capacity = SETTINGS.extra / HOSTS;
	return {
		countRequest({host}) {
			tokens[host] = Math.min(capacity, tokens[host]! + SETTINGS.ratio);
		},
		consumeResend({host}) {
			const isAllowed = tokens[host]! >= 1;
			tokens[host]! -= isAllowed ? 1 : 0;
			return isAllowed;
		},
		restartDispatcher: doNothing,
		restartHost(host) {
			tokens[host] = 0;
		},
	};
}

/**
Each dispatcher has a bucket that holds the share of the hosts that ask it.
*/
function createBucketWay(capacityPart: number): Way {
	const policy = {...DEFAULT_POLICY, resendCapacityPart: capacityPart};
	const askedAt = Array.from({length: DISPATCHERS}, () => new Map<number, number>());
	const getShare = (dispatcher: number, now: number) => askedAt[dispatcher]!.values().filter(at => now - at <= ASKED_MILLISECONDS).toArray().length / HOSTS;
	const create = (dispatcher: number) => createBudget(SETTINGS, policy, now => getShare(dispatcher, now));
	const budgets = Array.from({length: DISPATCHERS}, (_, dispatcher) => create(dispatcher));
	return {
		countRequest({host, dispatcher, now}) {
			askedAt[dispatcher]!.set(host, now);
			budgets[dispatcher]!.countRequest(now);
		},
		consumeResend({host, dispatcher, now}) {
			askedAt[dispatcher]!.set(host, now);
			return budgets[dispatcher]!.consumeResend(now);
		},
		restartDispatcher(dispatcher) {
			askedAt[dispatcher]!.clear();
			budgets[dispatcher] = create(dispatcher);
		},
		restartHost: doNothing,
	};
}

const WAYS: Readonly<Record<string, () => Way>> = {
	'counts of each dispatcher, 0.92 and 0.3 of the budget': () => createCountingWay(0.92, 0.3),
	'counts of each dispatcher, the whole budget': () => createCountingWay(1, 1),
	'counts of the hosts, handed over': createHandedOverWay,
	'a bucket on each entry host': createHostBucketWay,
	'a bucket on each dispatcher, 0.4 of the fixed number': () => createBucketWay(0.4),
	'a bucket on each dispatcher, 0.6 of the fixed number (chosen)': () => createBucketWay(DEFAULT_POLICY.resendCapacityPart),
	'a bucket on each dispatcher, 0.8 of the fixed number': () => createBucketWay(0.8),
	'a bucket on each dispatcher, the fixed number': () => createBucketWay(1),
};

/**
A span of a history. Times are in milliseconds.
*/
type Span = {
	readonly from: number;
	readonly until: number;
};

/**
What happens in a history, drawn before a way decides anything.
*/
type Drawn = {
	readonly sent: ReadonlyArray<{readonly at: number; readonly host: number; readonly fails: readonly boolean[]}>;
	readonly dispatcherFaults: ReadonlyArray<Span & {readonly dispatcher: number; readonly isRestart: boolean}>;
	readonly hostRestarts: readonly Span[];
	/**
	The first half of the hosts does not reach the first dispatcher of the others.
	*/
	readonly divisions: readonly Span[];
};

/**
A kind of history. The calm ones show what callers lose.
*/
type Kind = {
	readonly failing: (now: number) => number;
	readonly faultEveryMilliseconds: number;
	readonly hasHostRestarts: boolean;
	readonly hasDivisions: boolean;
};

const SPELL = {from: 12_000, until: 26_000} as const;
const SHORT_SPELL = {from: 12_000, until: 12_500} as const;

const createSpell = ({from, until}: Span, usual: number) => (now: number) => now >= from && now < until ? 1 : usual;

const KINDS: Readonly<Record<string, Kind>> = {
	'calm, a tenth fails': {
		failing: () => 0.1, faultEveryMilliseconds: Infinity, hasHostRestarts: false, hasDivisions: false,
	},
	'all fail for half a second': {
		failing: createSpell(SHORT_SPELL, 0), faultEveryMilliseconds: Infinity, hasHostRestarts: false, hasDivisions: false,
	},
	'all fail for 14 s': {
		failing: createSpell(SPELL, 0.02), faultEveryMilliseconds: Infinity, hasHostRestarts: false, hasDivisions: false,
	},
	'the same, dispatchers restart and are replaced': {
		failing: createSpell(SPELL, 0.02), faultEveryMilliseconds: 900, hasHostRestarts: false, hasDivisions: false,
	},
	'the same, half of the entry hosts restart': {
		failing: createSpell(SPELL, 0.02), faultEveryMilliseconds: Infinity, hasHostRestarts: true, hasDivisions: false,
	},
	'the same, two dispatchers at once': {
		failing: createSpell(SPELL, 0.02), faultEveryMilliseconds: Infinity, hasHostRestarts: false, hasDivisions: true,
	},
	'all of these': {
		failing: createSpell(SPELL, 0.02), faultEveryMilliseconds: 900, hasHostRestarts: true, hasDivisions: true,
	},
};

function draw({failing, faultEveryMilliseconds, hasHostRestarts, hasDivisions}: Kind, seed: number): Drawn {
	const random = utils.createRandom(seed);
	const sent: Array<Drawn['sent'][number]> = [];
	for (let at = 0; at < HISTORY_MILLISECONDS; at -= Math.log(1 - random()) * MILLISECONDS_PER_SECOND / REQUESTS_PER_SECOND) {
		sent.push({at, host: Math.floor(random() * HOSTS), fails: Array.from({length: MAX_RESENDS + 1}, () => random() < failing(at))});
	}

	const dispatcherFaults: Array<Drawn['dispatcherFaults'][number]> = [];
	for (let at = random() * faultEveryMilliseconds; at < HISTORY_MILLISECONDS; at += random() * 2 * faultEveryMilliseconds) {
		dispatcherFaults.push({
			from: at, until: at + (random() * 2 * faultEveryMilliseconds), dispatcher: Math.floor(random() * DISPATCHERS), isRestart: random() < 0.6,
		});
	}

	const drawSpan = (): Span => {
		const from = SPELL.from - MILLISECONDS_PER_SECOND + (random() * 10 * MILLISECONDS_PER_SECOND);
		return {from, until: from + (random() * 3 * MILLISECONDS_PER_SECOND)};
	};

	return {
		sent,
		dispatcherFaults,
		hostRestarts: hasHostRestarts ? [drawSpan(), drawSpan()] : [],
		divisions: hasDivisions ? [drawSpan(), drawSpan()] : [],
	};
}

const isWithin = (now: number, {from, until}: Span) => now >= from && now < until;

/**
Returns the first dispatcher that the host reaches. During a division the first half of the hosts does not reach the others' one.
*/
function findDispatcher({dispatcherFaults, divisions}: Drawn, host: number, now: number): number | undefined {
	const away = new Set(dispatcherFaults.filter(fault => isWithin(now, fault)).map(({dispatcher}) => dispatcher));
	const reached = Array.from({length: DISPATCHERS}, (_, dispatcher) => dispatcher).filter(dispatcher => !away.has(dispatcher));
	const isCutOff = host < HOSTS / 2 && divisions.some(division => isWithin(now, division));
	return reached[isCutOff ? 1 : 0];
}

/**
Returns a running host for a caller: while hosts restart, callers use the second half.
*/
function findHost({hostRestarts}: Drawn, host: number, now: number): number {
	return hostRestarts.some(restart => isWithin(now, restart)) && host < HOSTS / 2 ? host + (HOSTS / 2) : host;
}

/**
Sends a request again while it fails, until a resend is refused.
*/
function sendAgain(way: Way, attempt: Attempt, fails: readonly boolean[]): {readonly wanted: number; readonly sent: number} {
	const most = Math.min(MAX_RESENDS, fails.includes(false) ? fails.indexOf(false) : MAX_RESENDS);
	let sent = 0;
	while (sent < most && way.consumeResend(attempt)) {
		sent++;
	}

	return {wanted: Math.min(most, sent + 1), sent};
}

type Played = {
	readonly excess: number;
	readonly wanted: number;
	readonly refused: number;
};

function play(way: Way, drawn: Drawn): Played {
	const resent: number[] = [];
	let wanted = 0;
	let refused = 0;
	const restarts = [
		...drawn.dispatcherFaults.filter(({isRestart}) => isRestart).map(({from, dispatcher}) => ({
			at: from,
			run() {
				way.restartDispatcher(dispatcher);
			},
		})),
		...drawn.hostRestarts.map(({from}) => ({
			at: from,
			run() {
				for (let host = 0; host < HOSTS / 2; host++) {
					way.restartHost(host);
				}
			},
		})),
	].toSorted((left, right) => left.at - right.at);
	for (const {at: now, host: wantedHost, fails} of drawn.sent) {
		while (restarts.length > 0 && restarts[0]!.at <= now) {
			restarts.shift()!.run();
		}

		const host = findHost(drawn, wantedHost, now);
		const dispatcher = findDispatcher(drawn, host, now);
		if (dispatcher === undefined) {
			continue;
		}

		const attempt = {host, dispatcher, now};
		way.countRequest(attempt);
		const resends = sendAgain(way, attempt, fails);
		resent.push(...Array.from({length: resends.sent}, () => now));
		wanted += resends.wanted;
		refused += resends.wanted - resends.sent;
	}

	return {excess: getExcess(findWorstWindow({requests: drawn.sent.map(({at}) => at), resends: resent}, SETTINGS)), wanted, refused};
}

type Row = {
	readonly way: string;
	readonly history: string;
	readonly broken: number;
	readonly mostBeyond: number;
	readonly refusedPart: number;
};

function measure([way, create]: readonly [string, () => Way], [history, kind]: readonly [string, Kind]): Row {
	const played = Array.from({length: HISTORIES}, (_, index) => play(create(), draw(kind, SEED + index)));
	const sum = (pick: (one: Played) => number) => played.reduce((before, one) => before + pick(one), 0);
	return {
		way,
		history,
		broken: played.filter(({excess}) => excess > 0).length,
		mostBeyond: Math.round(Math.max(0, ...played.map(({excess}) => excess))),
		refusedPart: Number((sum(({refused}) => refused) / Math.max(1, sum(({wanted}) => wanted))).toFixed(3)),
	};
}

const CHOSEN = 'chosen';

/**
Plays all ways on all kinds of histories.
*/
export async function run(): Promise<{readonly title: string; readonly rows: readonly Row[]; readonly broken: readonly string[]}> {
	const rows = Object.entries(WAYS).flatMap(way => Object.entries(KINDS).map(kind => measure(way, kind)));
	return {
		title: `Ways to keep a retry budget, ${HISTORIES} histories each`,
		rows,
		broken: rows.filter(({way, broken}) => way.includes(CHOSEN) && broken > 0).map(({history, mostBeyond}) => `${history}: ${mostBeyond} resends beyond the budget`),
	};
}
