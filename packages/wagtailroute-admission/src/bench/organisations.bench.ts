/**
Memory after each of 1.4 million organisations has sent one request, and the time per request.
*/
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import * as v8 from 'node:v8';
import * as vm from 'node:vm';
import * as admission from '../index.ts';

/**
Result of one implementation. `heapBytes` is the growth of the heap, after garbage collection.
*/
export type OrganisationsRow = {
	readonly implementation: 'admission' | 'counter-per-organisation';
	readonly organisations: number;
	readonly heapBytes: number;
	readonly entries: number;
	readonly microsecondsPerRequest: number;
};

const ORGANISATIONS = 1_400_000;
const IN_FLIGHT = 200;
const MICROSECONDS_PER_MILLISECOND = 1000;
const MAX_ENTRIES = 16;
const MAX_HEAP_RATIO = 0.05;

/**
Measures both implementations.
*/
export function benchOrganisations(): OrganisationsRow[] {
	return [measure('admission', runAdmission), measure('counter-per-organisation', runCounters)];
}

function collectGarbage(): void {
	// The flag applies only to contexts that are created after it is set.
	v8.setFlagsFromString('--expose-gc');
	(vm.runInNewContext('gc') as () => void)();
}

type Implementation = OrganisationsRow['implementation'];

// The function that `runImplementation` returns is called after the heap is measured, so that its data is alive until then.
function measure(implementation: Implementation, runImplementation: () => () => number): OrganisationsRow {
	collectGarbage();
	const before = process.memoryUsage().heapUsed;
	const startedAt = performance.now();
	const getEntries = runImplementation();
	const elapsedMilliseconds = performance.now() - startedAt;
	collectGarbage();
	return {
		implementation,
		organisations: ORGANISATIONS,
		heapBytes: process.memoryUsage().heapUsed - before,
		entries: getEntries(),
		microsecondsPerRequest: elapsedMilliseconds * MICROSECONDS_PER_MILLISECOND / ORGANISATIONS,
	};
}

function runAdmission(): () => number {
	const controller = admission.createAdmissionController({concurrency: IN_FLIGHT, queueMilliseconds: 100}, 0);
	const running: string[] = [];
	for (let index = 0; index < ORGANISATIONS; index++) {
		const organisation = `organisation ${index}`;
		const now = index / 10;
		const decision = controller.request({organisation, now, deadline: now + 1000});
		if (decision.kind !== 'refused') {
			running.push(organisation);
		}

		if (running.length >= 8) {
			controller.release({
				organisation: running.shift()!, now, latencyMilliseconds: 10, ending: 'completed',
			});
		}
	}

	return () => controller.getStatus().activeOrganisations;
}

function runCounters(): () => number {
	const counters = new Map<string, {requests: number; inFlight: number}>();
	for (let index = 0; index < ORGANISATIONS; index++) {
		counters.set(`organisation ${index}`, {requests: 1, inFlight: 0});
	}

	return () => counters.size;
}

/**
Runs the bench and checks its bounds.
*/
export async function run(): Promise<{
	title: string;
	rows: ReadonlyArray<Record<string, string | number>>;
	broken: readonly string[];
}> {
	const rows = benchOrganisations();
	const [bounded, unbounded] = rows as [OrganisationsRow, OrganisationsRow];
	const ratio = bounded.heapBytes / unbounded.heapBytes;
	return {
		title: 'Memory after 1.4 million organisations',
		rows: rows.map(row => ({
			implementation: row.implementation,
			organisations: row.organisations,
			'heap kilobytes': Math.round(row.heapBytes / 1000),
			entries: row.entries,
			'microseconds a request': Number(row.microsecondsPerRequest.toFixed(2)),
		})),
		broken: [
			...bounded.entries > MAX_ENTRIES ? [`Admission holds ${bounded.entries} organisations, the bound is ${MAX_ENTRIES}.`] : [],
			...ratio > MAX_HEAP_RATIO ? [`The heap grows by ${ratio.toFixed(3)} of the growth with a counter per organisation, the bound is ${MAX_HEAP_RATIO}.`] : [],
		],
	};
}
