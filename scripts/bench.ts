/**
Runs the benches: every `src/bench/*.bench.ts` of a package, or those whose path contains one of the arguments. Prints their
tables, keeps the results with the machine's facts in `docs/data/`, and fails when a bound is broken. Bounds are ratios
within one run, so they hold on any machine.
*/
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as url from 'node:url';

type BenchResult = {
	readonly title: string;
	readonly rows: ReadonlyArray<Readonly<Record<string, string | number>>>;
	/**
	Bounds that did not hold, one sentence each.
	*/
	readonly broken: readonly string[];
};

type BenchModule = {readonly run: () => Promise<BenchResult>};

const ROOT = path.dirname(import.meta.dirname);
const DATA_FOLDER = path.join(ROOT, 'docs', 'data');
const PATTERN = '{packages/*,platform}/src/bench/*.bench.ts';

const wanted = process.argv.slice(2);
const found = await Array.fromAsync(fs.glob(PATTERN, {cwd: ROOT}));
const files = found
	.filter(file => wanted.length === 0 || wanted.some(word => file.includes(word)))
	.toSorted();
let brokenCount = 0;
for (const file of files) {
	// One bench at a time: side by side they would measure each other.
	// eslint-disable-next-line no-await-in-loop
	brokenCount += await runBench(file);
}

console.log(`${files.length} benches, ${brokenCount} broken bounds`);
process.exitCode = brokenCount === 0 ? 0 : 1;

async function runBench(file: string): Promise<number> {
	const module = await import(url.pathToFileURL(path.join(ROOT, file)).href) as BenchModule;
	const startedAt = performance.now();
	const result = await module.run();
	const seconds = (performance.now() - startedAt) / 1000;
	console.log(`\n${result.title} (${file}, ${seconds.toFixed(1)} s)`);
	console.table(result.rows);
	for (const sentence of result.broken) {
		console.log(`BROKEN ${sentence}`);
	}

	await keep(file, result);
	return result.broken.length;
}

async function keep(file: string, result: BenchResult): Promise<void> {
	const name = file.replace(/^packages\/wagtailroute-/v, '').replace('/src/bench/', '-').replace('.bench.ts', '.json');
	const machine = {
		processor: os.cpus()[0]?.model,
		cores: os.availableParallelism(),
		memoryGigabytes: Math.round(os.totalmem() / 1e9),
		loadAverage: os.loadavg()[0],
		node: process.version,
	};
	await fs.mkdir(DATA_FOLDER, {recursive: true});
	const document = {
		date: new Date().toISOString().slice(0, 10), machine, ...result,
	};
	await fs.writeFile(path.join(DATA_FOLDER, name), `${JSON.stringify(document, undefined, '\t')}\n`);
}
