/**
Runs one experiment by name: `node main.ts NAME [PROGRAM]`.
*/
import process from 'node:process';
import {runAtMostOnce} from './at-most-once.ts';
import {runCuts} from './cuts.ts';
import {runDrain} from './draining.ts';
import {runFaults} from './faults.ts';
import {runGray} from './gray.ts';
import {runIdle} from './idle.ts';
import {runOverhead} from './overhead.ts';
import {runSurvival} from './survival.ts';
import {runThinPath} from './thin-path.ts';

type Experiment = (program: string) => Promise<unknown>;

const EXPERIMENTS: ReadonlyMap<string, Experiment> = new Map<string, Experiment>([
	['thin-path', runThinPath],
	['overhead', runOverhead],
	['gray', runGray],
	['idle', runIdle],
	['survival', runSurvival],
	['drain', runDrain],
	['at-most-once', runAtMostOnce],
	['faults', runFaults],
	['cuts', runCuts],
]);

const [name = '', program = 'bin/wagtailroute'] = process.argv.slice(2);
const run = EXPERIMENTS.get(name);
if (run === undefined) {
	console.error(`experiment: ${name} is not one of ${EXPERIMENTS.keys().toArray().join(', ')}`);
	process.exitCode = 2;
} else {
	console.log(JSON.stringify(await run(program), undefined, '\t'));
}
