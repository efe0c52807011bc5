/**
What every entry host does for the fleet at the size to design for, line by line.
*/
import * as hostTimes from '../../packages/wagtailroute-host/src/constants.ts';
import * as membershipTimes from '../../packages/wagtailroute-membership/src/constants.ts';
import {
	add,
	type Cost,
	getCost,
	multiply,
	sum,
	times,
} from './costs.ts';
import {type Facts, getAt} from './facts.ts';
import {
	CALLS_TO_LEADER,
	CHANGES_PER_SECOND,
	ENVELOPE_BYTES,
	getVersionsBytes,
	RESTARTS_PER_SECOND,
	type RoleLine,
	SECOND,
	SERVICES_PER_HOST,
} from './shape.ts';
import {SIZE} from './size.ts';

const SMALL_CONTENT = 60;

/**
Lists what an entry host does apart from the services it carries.
*/
export function listEntryLines(facts: Facts): readonly RoleLine[] {
	const compares = SECOND / hostTimes.COMPARE_INTERVAL_MILLISECONDS;
	return [
		describeMembership(facts),
		{
			what: 'news of restarts and replacements',
			mechanism: 'membership `dissemination.ts`',
			state: 'updates that wait',
			perSecond: multiply(RESTARTS_PER_SECOND / SIZE.hosts, getMembership(facts, 'messagesPerRestart')),
			cost: times(RESTARTS_PER_SECOND / SIZE.hosts, {
				bytes: getMembership(facts, 'bytesPerRestart'),
				microseconds: sum([
					getMembership(facts, 'cpuMicrosecondsPerRestart'),
					multiply(getMembership(facts, 'messagesPerRestart'), getCost(facts, 'datagram', SMALL_CONTENT).microseconds),
				]),
			}),
			memoryBytes: 0,
			isControl: true,
		},
		{
			what: 'compares its catalogue with a random host',
			mechanism: 'host `distribution.ts`',
			state: 'one revision',
			perSecond: compares,
			cost: times(compares, getCost(facts, 'connectingCall', SMALL_CONTENT)),
			memoryBytes: 0,
			isControl: true,
		},
		describeChanges(facts),
		{
			what: 'carriers of all services',
			mechanism: 'assignment `carrier-index.ts`, host `carriers.ts`; a restart taken for an end and a start',
			state: `${SIZE.services} services, ${SIZE.hosts} hosts`,
			perSecond: 0,
			cost: {bytes: 0, microseconds: multiply(RESTARTS_PER_SECOND, getAssignmentMicroseconds(facts))},
			memoryBytes: getAt(facts, 'assignment-directory', ['hosts', 'indexBytes'], SIZE.hosts),
			isControl: true,
		},
		describePoll(facts, {
			what: 'reads the ejection tables', mechanism: 'host `ejection-leases.ts`',
			milliseconds: hostTimes.EJECTION_POLL_INTERVAL_MILLISECONDS, calls: CALLS_TO_LEADER,
		}),
		describePoll(facts, {
			what: 'asks for suspect requests', mechanism: 'host `crash-guard.ts`',
			milliseconds: hostTimes.SUSPECT_POLL_INTERVAL_MILLISECONDS, calls: 1,
		}),
	];
}

function describeMembership(facts: Facts): RoleLine {
	const rate = getMembership(facts, 'messagesPerSecond');
	const bytes = getMembership(facts, 'bytesPerSecond');
	const content = rate === undefined || bytes === undefined ? undefined : (bytes / rate) - ENVELOPE_BYTES;
	const datagram = content === undefined ? {} : getCost(facts, 'datagram', content);
	return {
		what: 'membership',
		mechanism: `membership (a probe every ${membershipTimes.PROBE_INTERVAL_MILLISECONDS} ms), peer \`datagrams.ts\``,
		state: `${SIZE.hosts} records`,
		perSecond: rate,
		cost: {
			bytes,
			microseconds: sum([getMembership(facts, 'cpuMicrosecondsPerSecond'), multiply(rate, datagram.microseconds)]),
		},
		memoryBytes: getMembership(facts, 'heapBytes'),
		isControl: true,
	};
}

function getMembership(facts: Facts, column: string): number | undefined {
	return getAt(facts, 'membership-restarts:quiet', ['hosts', column], SIZE.hosts);
}

function describeChanges(facts: Facts): RoleLine {
	return {
		what: 'takes changes of the catalogue and passes them on',
		mechanism: `host \`distribution.ts\` (tells ${hostTimes.REVISION_FANOUT}), catalogue \`view.ts\`, \`route-index.ts\``,
		state: `${SIZE.services} entries, ${SIZE.routes} routes`,
		perSecond: CHANGES_PER_SECOND * (hostTimes.REVISION_FANOUT + 1),
		cost: times(CHANGES_PER_SECOND, getChangeCost(facts)),
		memoryBytes: getAt(facts, 'catalogue-memory:entries', ['count', 'hostBytes'], SIZE.services),
		isControl: true,
	};
}

/**
What one change costs a host: it tells others, fetches the delta and takes it into force. Random others are rarely
connected, so each message opens a connection.
*/
export function getChangeCost(facts: Facts): Cost {
	const deltaBytes = getAt(facts, 'catalogue-catalogue', ['entries', 'deltaBytes'], SIZE.services);
	return add(
		times(hostTimes.REVISION_FANOUT, getCost(facts, 'connectingCall', SMALL_CONTENT)),
		deltaBytes === undefined ? {} : getCost(facts, 'connectingCall', deltaBytes),
		{bytes: 0, microseconds: getAt(facts, 'catalogue-catalogue', ['entries', 'hostMicroseconds'], SIZE.services)},
	);
}

/**
Microseconds that one host spends on the end and the start of another.
*/
export function getAssignmentMicroseconds(facts: Facts): number | undefined {
	return multiply(SECOND, sum([
		getAt(facts, 'assignment-assignment', ['services', 'leaveMilliseconds'], SIZE.services),
		getAt(facts, 'assignment-assignment', ['services', 'joinMilliseconds'], SIZE.services),
	]));
}

type Poll = {readonly what: string; readonly mechanism: string; readonly milliseconds: number; readonly calls: number};

function describePoll(facts: Facts, {what, mechanism, milliseconds, calls}: Poll): RoleLine {
	const rate = SECOND / milliseconds * calls;
	return {
		what,
		mechanism,
		state: `${SERVICES_PER_HOST.toFixed(0)} versions`,
		perSecond: rate,
		cost: times(rate, getCost(facts, 'call', getVersionsBytes())),
		memoryBytes: 0,
		isControl: true,
	};
}
