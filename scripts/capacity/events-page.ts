/**
The part of the page on changes, restarts and losses.
*/
import * as hostTimes from '../../packages/wagtailroute-host/src/constants.ts';
import {
	getBusyChangeMicroseconds,
	getChangeCost as getLeaderChangeCost,
} from './control-roles.ts';
import {
	getCost,
	multiply,
	sum,
} from './costs.ts';
import {
	type Facts,
	getAt,
	getRows,
} from './facts.ts';
import {getAssignmentMicroseconds, getChangeCost} from './entry-roles.ts';
import {PEERS, RESTARTS_PER_SECOND} from './shape.ts';
import {BUDGET, SIZE} from './size.ts';
import {
	inBudget,
	mark,
	write,
	writeBytes,
	writeTable,
} from './tables.ts';

const SECOND = 1000;
const ROUND_TRIPS = [1, 30, 100] as const;
const LOST_HOSTS = Math.round(SIZE.hosts / SIZE.failureDomains);
const REGION_HOSTS = Math.round(SIZE.hosts / SIZE.regions);

/**
Round trips until a message arrives over a connection that must first be opened, and of the call that follows: TCP, two for
TLS 1.2, and the request itself.
*/
const TRIPS_OF_NOTICE = 3.5;
const TRIPS_OF_FETCH = 4;

/**
Writes how long a change takes and what it costs.
*/
export function writeChanges(facts: Facts): string {
	const last = facts.gossip.at(-1)!;
	const rounds = last['rounds in all (most)'] as number;
	const cost = getChangeCost(facts);
	const leader = getLeaderChangeCost(facts);
	const question = getCost(facts, 'connectingCall', 50);
	const inOneHost = multiply(0.5 / SECOND, sum([cost.microseconds]));
	const taken = getAt(facts, 'catalogue-catalogue', ['entries', 'hostMicroseconds'], SIZE.services);
	const times = ROUND_TRIPS.map(trip => {
		const spread = sum([multiply(rounds, inOneHost), rounds * (TRIPS_OF_NOTICE + TRIPS_OF_FETCH) * trip]);
		return {trip, spread, all: sum([spread, hostTimes.COMPARE_INTERVAL_MILLISECONDS])};
	});
	return [
		'## Changes of the catalogue\n',
		writeTable(Object.keys(last), facts.gossip.map(row => Object.values(row).map(String))),
		[
			'Simulated spread as in host `distribution.ts`. The hosts that nobody told find out by their own comparison, at most',
			`${hostTimes.COMPARE_INTERVAL_MILLISECONDS} ms later. Worked out from it, with the round trip between hosts as an assumption`,
			'(each notice and each fetch opens a connection first):\n',
		].join(' '),
		writeTable(
			['round trip', 'all hosts that are told', 'all hosts'],
			times.map(({trip, spread, all}) => [
				`${trip} ms`,
				mark(write(spread, 'ms'), spread, BUDGET.inForceMilliseconds),
				mark(write(all, 'ms'), all, BUDGET.inForceMilliseconds),
			]),
		),
		writeTable(['15,000 changes a day, and 500 at once', 'figure'], [
			['one change, processor time of a host', write(multiply(1 / SECOND, cost.microseconds), 'ms')],
			['one change, bytes sent by a host', writeBytes(cost.bytes)],
			['one change, processor time of the leader with its messages to 27 members', write(multiply(1 / SECOND, leader.microseconds), 'ms')],
			['500 changes, the leader, its messages in batches', write(multiply(SIZE.burstOfChanges / 1e6, getBusyChangeMicroseconds(facts)), 's of a core')],
			['500 changes, each host, if it fetches each one by itself (at most)', write(multiply(SIZE.burstOfChanges / 1e6, cost.microseconds), 's of a core')],
			['500 changes, each host, taking them into force alone', write(multiply(SIZE.burstOfChanges / 1e6, taken), 's of a core')],
			['whole catalogue, as a restarted host fetches it', writeBytes(getAt(facts, 'catalogue-catalogue', ['entries', 'wholeBytes'], SIZE.services))],
			['the question "in force everywhere?", processor time of the asker (half of both ends)', write(multiply((SIZE.hosts - 1) / 2e6, question.microseconds), 's')],
			['the same, bytes', writeBytes(multiply(SIZE.hosts - 1, question.bytes))],
		]),
	].join('\n');
}

/**
Writes what restarts and losses cost.
*/
export function writeLosses(facts: Facts): string {
	return [
		'## Restarts and losses\n',
		writeTable(['what happens', 'figure', 'from'], [
			...listRestarts(facts),
			...listStorm(facts),
			...listDomain(facts),
			...listRegions(facts),
		]),
	].join('\n');
}

type Line = readonly [string, string, string];

function listRestarts(facts: Facts): readonly Line[] {
	const [leave, join] = getAssignmentMilliseconds(facts);
	const news = getAt(facts, 'membership-restarts:quiet', ['hosts', 'bytesPerRestart'], SIZE.hosts);
	const whole = getAt(facts, 'catalogue-catalogue', ['entries', 'wholeBytes'], SIZE.services);
	const share = multiply(RESTARTS_PER_SECOND / 1e4, getAssignmentMicroseconds(facts));
	return [
		[`${SIZE.restartsPerDay.toLocaleString('en')} restarts a day: rate`, write(RESTARTS_PER_SECOND, '/s'), 'given'],
		['news of one restart, bytes of the whole fleet', writeBytes(news), 'membership, restarts bench'],
		['carriers computed anew, processor time of each host', write(share, '% of a core'), 'assignment bench; a restart taken for an end and a start'],
		['one host ends: the thread of each host is held for', mark(write(leave, 'ms'), leave, BUDGET.addedP99Milliseconds), 'assignment bench; requests wait'],
		['one host comes: the thread of each host is held for', mark(write(join, 'ms'), join, BUDGET.addedP99Milliseconds), 'assignment bench; requests wait'],
		['whole catalogues fetched, bytes sent a second by each host', writeBytes(multiply(RESTARTS_PER_SECOND / SIZE.hosts, whole), '/s'), 'catalogue bench'],
	];
}

function listStorm(facts: Facts): readonly Line[] {
	const restarted = SIZE.hosts / 10;
	const get = (column: string) => getAt(facts, 'membership-restarts:storm', ['hosts', column], SIZE.hosts);
	const whole = getAt(facts, 'catalogue-catalogue', ['entries', 'wholeBytes'], SIZE.services);
	const extrapolated = `membership, storm bench, line beyond its largest size of ${String(getRows(facts, 'membership-restarts:storm')?.at(-1)?.hosts ?? '-')} hosts`;
	return [
		[`${restarted} hosts restart at once: 99 in 100 know of each`, write(multiply(1 / SECOND, get('mostKnownMilliseconds')), 's'), extrapolated],
		['all know of all', write(multiply(1 / SECOND, get('allKnownMilliseconds')), 's'), extrapolated],
		['meanwhile, bytes sent a second by each host', inBudget.bytes(get('bytesPerSecond')), extrapolated],
		['carriers computed anew, processor time of each host', write(multiply(restarted / 1e6, getAssignmentMicroseconds(facts)), 's'), 'assignment bench'],
		['whole catalogues fetched from the others', writeBytes(multiply(restarted, whole)), 'catalogue bench'],
		['upstreams whose holder restarted', write(restarted * SIZE.upstreams / SIZE.hosts), 'they renew elsewhere within 5 s'],
	];
}

function listDomain(facts: Facts): readonly Line[] {
	const get = (column: string) => getAt(facts, 'announcements-holders', ['peers', column], PEERS);
	const dead = getRows(facts, 'membership-membership')?.findLast(row => row.loss === 0.01)?.deadP99;
	const deadSeconds = typeof dead === 'number' ? dead / SECOND : undefined;
	const [leave, join] = getAssignmentMilliseconds(facts);
	return [
		[`a failure domain lost (${LOST_HOSTS} hosts): a host is dead for 99 in 100 others`, write(deadSeconds, 's'), 'membership bench, 2,400 hosts, 1% loss'],
		['upstreams that renew elsewhere', write(LOST_HOSTS * SIZE.upstreams / SIZE.hosts), 'within 5 s'],
		['after membership\'s word, all carriers know all upstreams for good', write(multiply(1 / SECOND, get('recoveredMilliseconds')), 's'), 'announcements, holders bench'],
		['messages of each surviving host for it', write(get('messagesAfterLoss')), 'announcements, holders bench'],
		['bytes of content of each surviving host for it', writeBytes(get('bytesAfterLoss')), 'announcements, holders bench'],
		['carriers computed anew, processor time of each host', write(multiply(LOST_HOSTS / SECOND, leave), 's'), 'assignment bench'],
		['the failure domain comes back: the same', write(multiply(LOST_HOSTS / SECOND, join), 's'), 'assignment bench'],
	];
}

function listRegions(facts: Facts): readonly Line[] {
	const [leave, join] = getAssignmentMilliseconds(facts);
	const others = SIZE.hosts - REGION_HOSTS;
	return [
		[`a region of ${REGION_HOSTS} hosts apart for minutes: carriers anew on each host of the others`, write(multiply(REGION_HOSTS / SECOND, leave), 's'), 'assignment bench'],
		['on each host of the region apart', write(multiply(others / SECOND, leave), 's'), 'assignment bench'],
		['when they meet again, on each host of the region', write(multiply(others / SECOND, join), 's'), 'assignment bench'],
		['in the region without the control quorum: keyed requests', 'told not-run', 'host `claims.ts`'],
		['limits', 'safe part, a quarter of each limit in all', 'records `shares.ts`'],
		['ejections', 'taken back when the lease of 15 s ends', 'host `ejection-leases.ts`'],
		['changes of the catalogue', 'refused in the region; it goes on with the last ones', 'replication'],
	];
}

/**
Milliseconds that each host spends on one that ends, and on one that comes.
*/
function getAssignmentMilliseconds(facts: Facts): ReadonlyArray<number | undefined> {
	return ['leaveMilliseconds', 'joinMilliseconds']
		.map(column => getAt(facts, 'assignment-assignment', ['services', column], SIZE.services));
}
