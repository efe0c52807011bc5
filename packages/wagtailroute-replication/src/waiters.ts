/**
Requests that wait for the replica's answer.
*/
import * as results from 'ts-results-es';
import * as core from 'wagtailroute-core';
import type * as group from './group.ts';
import * as members from './members.ts';
import type * as replica from './replica.ts';

type Result = results.Result<group.Applied, group.GroupFailure>;

/**
Table of waiting requests by identifier.
*/
export type Waiters = {
	/**
	Adds a request, calls `start` with its identifier and resolves with its result.
	*/
	readonly add: (start: (id: string) => void) => Promise<Result>;
	/**
	Resolves a request with its applied command.
	*/
	readonly complete: (id: string, applied: group.Applied) => void;
	readonly answer: (id: string, answer: replica.Answer) => void;
	/**
	Fails all requests with `closed`.
	*/
	readonly close: () => void;
};

/**
Creates an empty table; identifiers are unique within it.
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
