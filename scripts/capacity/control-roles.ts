/**
What control hosts do at the size to design for: lead the catalogue, or follow both groups.
*/
import {MAX_STORED_ANSWERS} from '../../packages/wagtailroute-catalogue/src/constants.ts';
import * as hostTimes from '../../packages/wagtailroute-host/src/constants.ts';
import {IDLE_HEARTBEAT_INTERVAL_MILLISECONDS, LEARNER_HEARTBEAT_INTERVAL_MILLISECONDS} from '../../packages/wagtailroute-replication/src/constants.ts';
import {
	add,
	type Cost,
	getBusyCost,
	getCost,
	multiply,
	sum,
	times,
} from './costs.ts';
import {type Facts, getAt, getRows} from './facts.ts';
import {
	CHANGES_PER_SECOND,
	CLAIM_BYTES,
	getVersionsBytes,
	type RoleLine,
	SECOND,
	SERVICES_PER_HOST,
	SHARE_SECONDS,
} from './shape.ts';
import {SIZE} from './size.ts';
import {at, fit} from './slopes.ts';
import {write} from './tables.ts';

// As in the bench of replication.
const BENCH_COMMAND_BYTES = JSON.stringify({key: 'service-1', value: 'v'.repeat(200)}).length;

/**
Renewals of shares and readings of the ejection tables of the whole fleet a second.
*/
export const FLEET_RENEWALS = SIZE.hosts / SHARE_SECONDS;
export const FLEET_POLLS = SIZE.hosts * SECOND / hostTimes.EJECTION_POLL_INTERVAL_MILLISECONDS;
const FLEET_SUSPECT_POLLS = SIZE.hosts * SECOND / hostTimes.SUSPECT_POLL_INTERVAL_MILLISECONDS;

/**
One end of a message: half of what both ends cost.
*/
export const ONE_END = 0.5;

/**
Lists what the leader of the catalogue does.
*/
export function listCatalogueLines(facts: Facts): readonly RoleLine[] {
	return [
		describeHeartbeats(facts, 'the leader\'s heartbeats and their answers, one group', 1),
		{
			what: 'orders and applies changes',
			mechanism: 'replication `group.ts`, catalogue `replicated.ts`',
			state: `${SIZE.services} entries`,
			perSecond: CHANGES_PER_SECOND,
			cost: times(CHANGES_PER_SECOND, getChangeCost(facts)),
			memoryBytes: getAt(facts, 'catalogue-memory:entries', ['count', 'controlBytes'], SIZE.services),
			isControl: true,
		},
		{
			what: 'answers kept for a resend of the same Change-Id',
			mechanism: 'catalogue `replicated.ts`',
			state: `${write(MAX_STORED_ANSWERS)} answers`,
			perSecond: 0,
			cost: {bytes: 0, microseconds: 0},
			memoryBytes: getAt(facts, 'catalogue-memory:answers', ['count', 'controlBytes'], MAX_STORED_ANSWERS),
			isControl: true,
		},
	];
}

/**
Cost of one change of the catalogue at the leader: each member gets it alone.
*/
export function getChangeCost(facts: Facts): Cost {
	const messages = getAt(facts, 'replication-replication:group', ['members', 'messagesPerCommand'], SIZE.controlHosts);
	const bytes = getAt(facts, 'replication-replication:group', ['members', 'bytesPerCommand'], SIZE.controlHosts);
	const each = messages === undefined || bytes === undefined ? {} : getCost(facts, 'notification', bytes / messages);
	return add(times(multiply(messages, ONE_END), each), {
		bytes: 0,
		microseconds: sum([
			getAt(facts, 'replication-replication:group', ['members', 'leaderMicrosecondsPerCommand'], SIZE.controlHosts),
			getAt(facts, 'catalogue-catalogue', ['entries', 'controlMicroseconds'], SIZE.services),
		]),
	});
}

function describeHeartbeats(facts: Facts, what: string, share: number): RoleLine {
	const get = (column: string) => getAt(facts, 'replication-replication:group', ['members', column], SIZE.controlHosts);
	const messages = get('idleMessagesPerSecond');
	const bytes = get('idleBytesPerSecond');
	const each = messages === undefined || bytes === undefined ? {} : getCost(facts, 'notification', bytes / messages);
	// Half of the messages start at the leader.
	const cost = times(multiply(messages, ONE_END * share), each);
	return {
		what,
		mechanism: `replication (${IDLE_HEARTBEAT_INTERVAL_MILLISECONDS} ms to voters, ${LEARNER_HEARTBEAT_INTERVAL_MILLISECONDS} ms to learners)`,
		state: `${SIZE.controlHosts} members`,
		perSecond: multiply(messages, ONE_END * share),
		cost: add(cost, times(share, {bytes: 0, microseconds: get('idleMicrosecondsPerSecond')})),
		memoryBytes: 0,
		isControl: true,
	};
}

/**
Lists what a voter or learner that doesn't lead does, for both groups.
*/
export function listFollowerLines(facts: Facts): readonly RoleLine[] {
	const renewal = getRenewalBytes(facts);
	const applied = at(fit(facts.shares, 'services', 'microseconds'), SERVICES_PER_HOST);
	const redirects = (FLEET_RENEWALS + FLEET_POLLS) / SIZE.controlHosts;
	return [
		describeHeartbeats(facts, 'heartbeats of two groups', 2 / (SIZE.controlHosts - 1)),
		{
			what: 'follows the records: renewals of shares',
			mechanism: 'replication, records `shares.ts`; bytes received',
			state: 'as the leader',
			perSecond: FLEET_RENEWALS,
			cost: {bytes: multiply(FLEET_RENEWALS, sum([renewal, getEntryOverhead(facts)])), microseconds: multiply(FLEET_RENEWALS, applied)},
			memoryBytes: 0,
			isControl: true,
		},
		{
			what: 'names the leader to those who ask it first',
			mechanism: 'host `proposals.ts`, `ejection-leases.ts`, `crash-guard.ts`',
			state: 'none',
			perSecond: redirects + (FLEET_SUSPECT_POLLS / SIZE.controlHosts),
			cost: times(ONE_END, add(
				times(FLEET_RENEWALS / SIZE.controlHosts, renewal === undefined ? {} : getCost(facts, 'call', renewal)),
				times((FLEET_POLLS + FLEET_SUSPECT_POLLS) / SIZE.controlHosts, getCost(facts, 'call', getVersionsBytes())),
			)),
			memoryBytes: 0,
			isControl: true,
		},
		{
			what: 'keeps the catalogue',
			mechanism: 'catalogue `replicated.ts`',
			state: `${SIZE.services} entries, ${write(MAX_STORED_ANSWERS)} answers`,
			perSecond: 0,
			cost: {bytes: 0, microseconds: 0},
			memoryBytes: sum([
				getAt(facts, 'catalogue-memory:entries', ['count', 'controlBytes'], SIZE.services),
				getAt(facts, 'catalogue-memory:answers', ['count', 'controlBytes'], MAX_STORED_ANSWERS),
			]),
			isControl: true,
		},
	];
}

/**
Microseconds that the leader spends on the messages of one command, when they travel in batches: the least.
*/
export function getMessagesMicroseconds(facts: Facts): number | undefined {
	const messages = getAt(facts, 'replication-replication:group', ['members', 'messagesPerCommand'], SIZE.controlHosts);
	return multiply(messages, ONE_END, getBusyCost(facts, 'notification', CLAIM_BYTES).microseconds);
}

/**
Microseconds of the leader for one of many changes that come at once.
*/
export function getBusyChangeMicroseconds(facts: Facts): number | undefined {
	return sum([
		getMessagesMicroseconds(facts),
		getLeaderMicroseconds(facts),
		getAt(facts, 'catalogue-catalogue', ['entries', 'controlMicroseconds'], SIZE.services),
	]);
}

/**
Bytes of a host's renewal of all its shares.
*/
export function getRenewalBytes(facts: Facts): number | undefined {
	return at(fit(facts.shares, 'services', 'commandBytes'), SERVICES_PER_HOST);
}

/**
Bytes of a command in a batch beyond its own, to one member.
*/
export function getEntryOverhead(facts: Facts): number | undefined {
	const line = fit(getRows(facts, 'replication-replication:group'), 'members', 'bytesPerBatchedCommand');
	return line && line.slope - BENCH_COMMAND_BYTES;
}

/**
Microseconds of the leader's own steps for one command.
*/
export function getLeaderMicroseconds(facts: Facts): number | undefined {
	return getAt(facts, 'replication-replication:group', ['members', 'leaderMicrosecondsPerCommand'], SIZE.controlHosts);
}
