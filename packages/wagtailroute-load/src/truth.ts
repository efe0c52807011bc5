/**
The truth check: what callers were told against what the stand-ins ran.
*/
import * as core from 'wagtailroute-core';
import * as constants from './constants.ts';

/**
What one attempt told its caller: the outcome of the answer, `untold` for an answer without one, `lost` for no answer.
*/
export type Told = core.Outcome | 'untold' | 'lost';

/**
All attempts of one request.
*/
export type ToldRequest = {
	readonly id: string;
	readonly requestClass: core.RequestClass;
	readonly told: readonly Told[];
};

/**
What was wrong. All of the counts must be 0.
*/
export type Truth = {
	/**
	Answers that ended as if whole, and weren't, or weren't the caller's own.
	*/
	readonly wrongAnswers: number;
	/**
	Requests told not-run, in each attempt, that ran.
	*/
	readonly toldNotRunButRan: number;
	/**
	Requests told ran that no stand-in ran.
	*/
	readonly toldRanButDidNot: number;
	/**
	Non-idempotent requests that ran more than once.
	*/
	readonly ranMoreThanOnce: number;
	/**
	Whether the counts of all stand-ins were read; without, the three counts above say nothing.
	*/
	readonly isCompared: boolean;
	/**
	The first wrongs in words.
	*/
	readonly examples: readonly string[];
};

type RunsWrong = 'toldNotRunButRan' | 'toldRanButDidNot' | 'ranMoreThanOnce';

/**
How each wrong is recognised from what was told and the number of runs.
*/
const RUNS_WRONGS: Readonly<Record<RunsWrong, (request: ToldRequest, runs: number) => boolean>> = {
	toldNotRunButRan: ({told}, runs) => runs > 0 && told.every(outcome => outcome === 'not-run'),
	toldRanButDidNot: ({told}, runs) => runs === 0 && told.includes('ran'),
	ranMoreThanOnce: ({requestClass}, runs) => runs > 1 && !core.isIdempotent(requestClass),
};

const RUNS_WRONG_NAMES = Object.keys(RUNS_WRONGS) as RunsWrong[];

/**
Compares. `runs` gives the number of executions by request id, or undefined when the counts couldn't all be read.
*/
export function compareRuns(
	requests: Iterable<ToldRequest>,
	runs: ReadonlyMap<string, number> | undefined,
	wrongAnswers: {readonly count: number; readonly examples: readonly string[]},
): Truth {
	const counts: Record<RunsWrong, number> = {toldNotRunButRan: 0, toldRanButDidNot: 0, ranMoreThanOnce: 0};
	const examples = [...wrongAnswers.examples];
	for (const request of runs ? requests : []) {
		const count = runs?.get(request.id) ?? 0;
		const wrongs = RUNS_WRONG_NAMES.filter(name => RUNS_WRONGS[name](request, count));
		for (const wrong of wrongs) {
			counts[wrong]++;
			examples.push(`${request.id} (${request.requestClass}): ${wrong}, told ${request.told.join(', ')}, ran ${count} times`);
		}
	}

	return {
		wrongAnswers: wrongAnswers.count,
		...counts,
		isCompared: runs !== undefined,
		examples: examples.slice(0, constants.DESCRIBED_WRONGS),
	};
}

/**
Says whether nothing was wrong.
*/
export function isTrue(truth: Truth): boolean {
	return truth.wrongAnswers === 0 && RUNS_WRONG_NAMES.every(name => truth[name] === 0);
}
