/**
Tests of entries that take hosts long to send, to receive and to write, such as a large catalogue on hosts with a part of a processor.
*/
import test from 'ava';
import * as busyCluster from './busy-cluster.ts';

const SEEDS = [1, 2, 3] as const;
const ELECTION_MILLISECONDS = 6000;
const VOTERS = 5;
const LEARNERS = 7;
const FOLLOWERS = VOTERS + LEARNERS - 1;
const LARGE_ENTRY_BYTES = 1_300_000;
const FAST_DISK_MILLISECONDS_PER_MEGABYTE = 8;
const SLOW_DISK_MILLISECONDS_PER_MEGABYTE = 330;

type HostCase = {
	readonly name: string;
	readonly processorMillisecondsPerMegabyte: number;
	readonly hasSlowDisk: (host: number) => boolean;
};

const HOST_CASES: readonly HostCase[] = [
	{name: 'processors with little time', processorMillisecondsPerMegabyte: 25, hasSlowDisk: () => false},
	{name: 'slow disks', processorMillisecondsPerMegabyte: 5, hasSlowDisk: () => true},
	{name: 'processors with little time and some slow disks', processorMillisecondsPerMegabyte: 25, hasSlowDisk: host => host % 3 === 1},
];

function start(seed: number, {processorMillisecondsPerMegabyte, hasSlowDisk}: HostCase): busyCluster.BusyCluster {
	const cluster = busyCluster.startBusyCluster({
		seed,
		voters: VOTERS,
		learners: LEARNERS,
		processorMillisecondsPerMegabyte,
		getDiskMillisecondsPerMegabyte: host => hasSlowDisk(host) ? SLOW_DISK_MILLISECONDS_PER_MEGABYTE : FAST_DISK_MILLISECONDS_PER_MEGABYTE,
	});
	cluster.advance(ELECTION_MILLISECONDS);
	return cluster;
}

test('each follower is sent a large entry once, however long it takes to receive and to write it', t => {
	// Guards against a leader that resends an entry while its followers still receive or write it, so that it has no time left for reads and other changes.
	for (const hostCase of HOST_CASES) {
		for (const seed of SEEDS) {
			const cluster = start(seed, hostCase);
			const before = cluster.getSentBytes();
			let isApplied = false;
			cluster.propose(LARGE_ENTRY_BYTES, () => {
				isApplied = true;
			});
			cluster.advance(5000);
			t.true(isApplied, `${hostCase.name}, seed ${seed}`);
			t.is((cluster.getSentBytes() - before) / LARGE_ENTRY_BYTES, FOLLOWERS, `${hostCase.name}, seed ${seed}`);
		}
	}
});

const MAX_RETAINED_BYTES = 8_000_000;

test('entries that followers may still need take little memory, however large they are', t => {
	// Guards against a host that runs out of memory: a fixed number of entries is kept after a snapshot, each of them as large as the whole state.
	const cluster = start(SEEDS[0], {name: 'fast', processorMillisecondsPerMegabyte: 1, hasSlowDisk: () => false});
	for (let change = 0; change < 60; change++) {
		cluster.propose(LARGE_ENTRY_BYTES, () => undefined);
		cluster.advance(200);
	}

	t.true(cluster.getRetainedBytes() <= MAX_RETAINED_BYTES, `${cluster.getRetainedBytes()} bytes`);
});

const CHANGES = 8;
const CHANGE_INTERVAL_MILLISECONDS = 760;

/**
Time after which an operator reads at another host.
*/
const READ_MILLISECONDS = 1000;

test('reads are answered while large entries are replicated one after the other', t => {
	// Guards against a catalogue that can't be read back: a leader that all hosts know answers nothing, since it sends a large entry to its followers again and again.
	for (const seed of SEEDS) {
		const cluster = start(seed, HOST_CASES[0]!);
		const durations: number[] = [];
		for (let change = 0; change < CHANGES; change++) {
			cluster.propose(LARGE_ENTRY_BYTES, () => undefined);
			const sentAt = cluster.getTime();
			cluster.read(() => {
				durations.push(cluster.getTime() - sentAt);
			});
			cluster.advance(CHANGE_INTERVAL_MILLISECONDS);
		}

		cluster.advance(READ_MILLISECONDS);
		t.is(durations.length, CHANGES, `seed ${seed}`);
		t.true(Math.max(...durations) <= READ_MILLISECONDS, `seed ${seed}: ${Math.max(...durations)} ms`);
	}
});
