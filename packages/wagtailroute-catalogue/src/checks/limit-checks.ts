/**
Checks of limits that contradict each other.
*/
import type {Entry} from '../entry.ts';
import {createFinding, type Finding, type FindingCode} from './findings.ts';

type LimitCheck = {
	readonly code: FindingCode;
	readonly field: string;
	readonly isContradiction: (entry: Entry) => boolean;
	readonly describe: (entry: Entry) => string;
};

const LIMIT_CHECKS: readonly LimitCheck[] = [
	{
		code: 'timeout-below-objective',
		field: 'limits.timeoutMilliseconds',
		isContradiction: ({limits, objective}) => limits.timeoutMilliseconds < objective.latencyMilliseconds,
		describe: ({limits, objective}) =>
			`Requests end after ${limits.timeoutMilliseconds} ms, before the objective of ${objective.latencyMilliseconds} ms is missed.`,
	},
	{
		code: 'objective-below-queue',
		field: 'objective.latencyMilliseconds',
		isContradiction: ({limits, objective}) => objective.latencyMilliseconds <= limits.queueMilliseconds,
		describe: ({limits, objective}) =>
			`A request may wait for ${limits.queueMilliseconds} ms, which leaves nothing of the objective of ${objective.latencyMilliseconds} ms.`,
	},
	{
		code: 'share-below-one-request',
		field: 'limits.perOrganisationShare',
		// Admission control grants each organisation one request at least.
		isContradiction: ({limits}) => (limits.perOrganisationShare ?? 1) * limits.concurrency < 1,
		describe: ({limits}) =>
			`${limits.perOrganisationShare} of a concurrency of ${limits.concurrency} is less than the one request that each organisation is granted.`,
	},
];

/**
Finds the limits of an entry that contradict each other.
*/
export function findContradictions(entry: Entry): readonly Finding[] {
	return LIMIT_CHECKS
		.filter(check => check.isContradiction(entry))
		.map(check => createFinding(check.code, entry.name, check.describe(entry), check.field));
}
