/**
Requests that wait for an answer of the replica.
*/
import * as results from 'ts-results-es';
import * as core from 'wagtailroute-core';
import type * as group from './group.ts';
import * as members from './members.ts';
import type * as replica from './replica.ts';

type Result = results.Result<group.Applied, group.GroupFailure>;

/**
Waiting requests by identifier.
*/
export type Waiters = {
	/**
	Adds a request, starts it with its identifier and waits for its answer.
	*/
	readonly add: (start: (id: string) => void) => Promise<Result>;
	readonly complete: (id: string, applied: group.Applied) => void;
	readonly answer: (id: string, answer: replica.Answer) => void;
	/**
	Ends all requests.
	*/
	readonly close: () => void;
};

/**
Creates an empty table.
*/
export function createWaiters(): Waiters {
	const waiting = new Map<string, (result: Result) => void>();
	let nextId = 0;
	const settle = (id: string, result: Result) => {
		const resolve = waiting.get(id);
		waiting.delete(id);
		resolve?.(result);
	};

	return {
		add: async start => new Promise(resolve => {
			const id = String(nextId++);
			waiting.set(id, resolve);
			start(id);
		}),
		complete(id, applied) {
			settle(id, results.Ok(applied));
		},
		answer(id, answer) {
			settle(id, RESULTS_BY_OUTCOME[answer.outcome](answer as never));
		},
		close() {
			for (const id of waiting.keys()) {
				settle(id, results.Err(core.createFailure('closed', 'The group was closed; the request may have been taken.')));
			}
		},
	};
}

type ResultsByOutcome = {
	readonly [Outcome in replica.Answer['outcome']]: (answer: Extract<replica.Answer, {outcome: Outcome}>) => Result;
};

const RESULTS_BY_OUTCOME: ResultsByOutcome = {
	done: ({token}) => results.Ok({value: null, token}),
	'not-leader'({leader}) {
		const host = leader === null ? undefined : members.getMemberHost(leader);
		const failure = core.createFailure('not-leader', `This host does not lead; ${host ?? 'no known host'} does.`);
		return results.Err({...failure, leader: host});
	},
	refused: ({reason}) => results.Err({...core.createFailure('refused', `The request was refused: ${reason}.`), reason}),
	unknown: () => results.Err(core.createFailure('unknown', 'Leadership was lost; the request may have been taken.')),
};
