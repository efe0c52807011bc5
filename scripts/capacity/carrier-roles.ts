/**
What a host does for the services that it carries, at the size to design for, line by line.
*/
import * as hostTimes from '../../packages/wagtailroute-host/src/constants.ts';
import * as announcements from '../../packages/wagtailroute-announcements/src/index.ts';
import {
	add,
	getCost,
	multiply,
	sum,
	times,
} from './costs.ts';
import {type Facts, getAt} from './facts.ts';
import {
	CALLS_TO_LEADER,
	CARRIERS,
	CLAIM_BYTES,
	CLAIMS_PER_SECOND,
	ENVELOPE_BYTES,
	PEERS,
	type RoleLine,
	SERVICES_PER_HOST,
	SETTLEMENT_BYTES,
	SHARE_SECONDS,
	UPSTREAMS_PER_SERVICE,
} from './shape.ts';
import {SIZE} from './size.ts';
import {at, fit} from './slopes.ts';

/**
Name of the line that costs most.
*/
export const SUMMARIES = 'tells the other carriers what it saw of upstreams';

/**
Lists what a host does for the services that it carries.
*/
export function listCarrierLines(facts: Facts): readonly RoleLine[] {
	return [
		describeAnnouncements(facts),
		describeSummaries(facts),
		describeSteps(facts),
		describeShares(facts),
		{
			what: 'claims and settles keyed requests',
			mechanism: `host \`claims.ts\`; ${SIZE.keyedShare * 100}% of the requests, an assumption`,
			state: 'none',
			perSecond: CLAIMS_PER_SECOND * 2 * CALLS_TO_LEADER,
			cost: times(CLAIMS_PER_SECOND * CALLS_TO_LEADER, add(
				getCost(facts, 'call', CLAIM_BYTES),
				getCost(facts, 'call', SETTLEMENT_BYTES),
			)),
			memoryBytes: 0,
			isControl: false,
		},
		{
			what: 'admission of organisations',
			mechanism: `admission (after ${SIZE.organisations.toLocaleString('en')} organisations, each service)`,
			state: 'organisations with requests waiting or in flight',
			perSecond: 0,
			cost: {bytes: 0, microseconds: multiply(SIZE.requestsPerSecond / SIZE.hosts, getAdmission(facts, 'microseconds a request'))},
			memoryBytes: multiply(SERVICES_PER_HOST, 1000, getAdmission(facts, 'heap kilobytes')),
			isControl: false,
		},
	];
}

function getAdmission(facts: Facts, column: string): number | undefined {
	const row = facts.benches.get('admission-organisations')?.rows.find(({implementation}) => implementation === 'admission');
	const value = row?.[column];
	return typeof value === 'number' ? value : undefined;
}

function describeAnnouncements(facts: Facts): RoleLine {
	const get = (column: string) => getAt(facts, 'announcements-holders', ['peers', column], PEERS);
	const rate = get('messagesPerSecond');
	const bytes = get('bytesPerSecond');
	const message = rate === undefined || bytes === undefined ? {} : getCost(facts, 'notification', (bytes / rate) - ENVELOPE_BYTES);
	return {
		what: 'leases of upstreams: digests and deltas between carriers',
		mechanism: `announcements (renewal every ${announcements.RENEW_SECONDS} s, not counted in bytes: upstreams send them)`,
		state: `${(SIZE.upstreams / SIZE.hosts).toFixed(0)} leases held, ${(SERVICES_PER_HOST * UPSTREAMS_PER_SERVICE).toFixed(0)} known`,
		perSecond: rate,
		cost: {
			bytes: multiply(rate, message.bytes),
			microseconds: sum([get('cpuMicrosecondsPerSecond'), multiply(rate, message.microseconds)]),
		},
		memoryBytes: get('heapBytes'),
		isControl: true,
	};
}

function describeSummaries(facts: Facts): RoleLine {
	const rate = hostTimes.DETECTION_SUMMARIES_PER_SECOND * (CARRIERS - 1);
	const bytes = at(fit(facts.detection, 'upstreams', 'summaryBytes'), UPSTREAMS_PER_SERVICE);
	const taken = at(fit(facts.detection, 'upstreams', 'summaryMicroseconds'), UPSTREAMS_PER_SERVICE);
	const message = bytes === undefined ? {} : getCost(facts, 'notification', bytes);
	return {
		what: SUMMARIES,
		mechanism: `detection \`evidence-collector.ts\`, host \`service-detection.ts\` (${hostTimes.DETECTION_SUMMARIES_PER_SECOND} summaries a second to ${CARRIERS - 1} hosts)`,
		state: 'evidence since the last summary',
		perSecond: rate,
		cost: {
			bytes: multiply(rate, message.bytes),
			microseconds: sum([multiply(rate, message.microseconds), multiply(rate, taken)]),
		},
		memoryBytes: 0,
		isControl: true,
	};
}

function describeSteps(facts: Facts): RoleLine {
	const step = at(fit(facts.detection, 'upstreams', 'tickMicroseconds'), UPSTREAMS_PER_SERVICE);
	return {
		what: 'weighs the evidence',
		mechanism: `detection, host \`host-detection.ts\` (${hostTimes.DETECTION_STEPS_PER_SECOND} steps a second over all services)`,
		state: 'windows of each upstream',
		perSecond: 0,
		cost: {bytes: 0, microseconds: multiply(hostTimes.DETECTION_STEPS_PER_SECOND, step)},
		memoryBytes: multiply(SERVICES_PER_HOST, at(fit(facts.detection, 'upstreams', 'heapBytes'), UPSTREAMS_PER_SERVICE)),
		isControl: true,
	};
}

function describeShares(facts: Facts): RoleLine {
	const rate = CALLS_TO_LEADER / SHARE_SECONDS;
	const bytes = at(fit(facts.shares, 'services', 'commandBytes'), SERVICES_PER_HOST);
	return {
		what: 'renews its shares of the limits',
		mechanism: `host \`share-leases.ts\` (every ${SHARE_SECONDS.toFixed(1)} s while used; up to every 0.25 s while short, not counted)`,
		state: 'one share for each limit',
		perSecond: rate,
		cost: bytes === undefined ? {} : times(rate, getCost(facts, 'call', bytes)),
		memoryBytes: 0,
		isControl: true,
	};
}
