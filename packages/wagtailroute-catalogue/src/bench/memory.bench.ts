/**
Heap memory that the catalogue retains, measured after a garbage collection: on every host (view and route index) and on a control host
(entries, history and stored answers), by the number of entries and by the number of stored answers.
*/
import process from 'node:process';
import * as v8 from 'node:v8';
import * as vm from 'node:vm';
import * as catalogue from '../index.ts';

const ENTRY_COUNTS = [700, 1700, 3400, 6900] as const;
const ANSWER_COUNTS = [2500, 5000, 10_000, 20_000] as const;
const ANSWER_ENTRY_COUNT = 100;
const ROUTES_PER_ENTRY = 7;

/**
Maximum ratio of the memory per entry at the largest and the smallest size: memory must grow in proportion to the entries.
*/
const MAX_GROWTH_RATIO = 1.5;

type Row = {
	readonly measure: 'entries' | 'answers';
	readonly count: number;
	readonly hostBytes: number;
	readonly controlBytes: number;
	readonly snapshotBytes: number;
	readonly snapshotMilliseconds: number;
};

/**
Measures all sizes; `broken` names the exceeded limit.
*/
export async function run(): Promise<{title: string; rows: readonly Row[]; broken: readonly string[]}> {
	const rows = [...ENTRY_COUNTS.map(size => measureEntries(size)), ...ANSWER_COUNTS.map(count => measureAnswers(count))];
	const [first] = rows;
	const last = rows[ENTRY_COUNTS.length - 1]!;
	const ratio = (last.hostBytes / last.count) / (first!.hostBytes / first!.count);
	return {
		title: 'Catalogue: memory kept alive',
		rows,
		broken: ratio > MAX_GROWTH_RATIO ? [`an entry takes ${ratio.toFixed(2)} times the memory at the largest size`] : [],
	};
}

function measureEntries(count: number): Row {
	const control = measureHeap(() => createFilledCatalogue(count, count));
	const text = JSON.stringify(catalogue.getDelta(control.value.getView(), -1));
	// Parses the text once before the measurement, which would otherwise include memory that the first parsing frees.
	JSON.parse(text);
	const host = measureHeap(() => {
		const view = catalogue.applyDelta(catalogue.EMPTY_VIEW, JSON.parse(text) as catalogue.Delta);
		const routes = catalogue.createRouteIndex();
		routes.applyViewChange(catalogue.EMPTY_VIEW, view);
		return {view, routes, text};
	});
	return {
		measure: 'entries', count, hostBytes: host.bytes, controlBytes: control.bytes, ...measureSnapshot(control.value),
	};
}

function measureAnswers(count: number): Row {
	const control = measureHeap(() => createFilledCatalogue(ANSWER_ENTRY_COUNT, count));
	return {
		measure: 'answers', count, hostBytes: 0, controlBytes: control.bytes, ...measureSnapshot(control.value),
	};
}

function measureSnapshot(control: catalogue.ReplicatedCatalogue): Pick<Row, 'snapshotBytes' | 'snapshotMilliseconds'> {
	const startedAt = performance.now();
	const text = JSON.stringify(control.takeSnapshot());
	return {snapshotBytes: text.length, snapshotMilliseconds: Math.round(performance.now() - startedAt)};
}

/**
Creates a catalogue by `changes` changes to `entries` entries. Each change has an entry parsed anew, like one received over the network.
*/
function createFilledCatalogue(entries: number, changes: number): catalogue.ReplicatedCatalogue {
	const control = catalogue.createReplicatedCatalogue();
	for (let change = 0; change < changes; change++) {
		const name = `service-${change % entries}`;
		const answer = control.apply({
			name,
			entry: createEntry(change % entries, name),
			expected: control.getView().entries.get(name)?.revision ?? 0,
			changeId: `change-${change}`,
			operator: 'bench',
			takenAt: change,
		});
		if (!answer.accepted) {
			throw new Error(`Change ${change} was refused: ${answer.failure.message}`);
		}
	}

	return control;
}

function createEntry(index: number, name: string): catalogue.Entry {
	return catalogue.parseEntry({
		name,
		owner: `owner-${index}`,
		routes: Array.from({length: ROUTES_PER_ENTRY}, (_, route) => ({
			host: `host-${index % 50}.example`,
			pathPrefix: `/service-${index}/part-${route}`,
			class: 'read',
		})),
	}).unwrap();
}

/**
Returns a created object and the bytes of heap that it retains.
*/
function measureHeap<Value>(create: () => Value): {readonly value: Value; readonly bytes: number} {
	collectGarbage();
	const before = process.memoryUsage().heapUsed;
	const value = create();
	collectGarbage();
	return {value, bytes: process.memoryUsage().heapUsed - before};
}

function collectGarbage(): void {
	// The flag applies only to contexts created after it is set.
	v8.setFlagsFromString('--expose-gc');
	(vm.runInNewContext('gc') as () => void)();
}
