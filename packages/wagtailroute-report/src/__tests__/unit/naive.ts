/**
The report's numbers the naive way: every request is kept, and each figure is counted anew from the whole log.
*/
import * as report from '../../index.ts';

/**
One answered request of the log.
*/
export type LogLine = {
	readonly at: number;
	readonly service: string;
	readonly result: report.RequestResult;
};

/**
Counts the requests of a service with `from < at <= until`.
*/
export function countLog(
	log: readonly LogLine[],
	service: string,
	objective: report.Objective,
	{from, until}: {readonly from: number; readonly until: number},
): report.Counts {
	const within = log.filter(line => line.service === service && line.at > from && line.at <= until);
	const verdicts = within.map(line => report.getVerdict(line.result, objective));
	return report.VERDICTS.map(verdict => verdicts.filter(each => each === verdict).length);
}

/**
Returns the burn rates from the definition, of the requests with `from < at <= until`.
*/
export function getBurnRates(counts: report.Counts, objective: report.Objective): {availability: number; latency: number} {
	const get = (verdict: report.Verdict) => counts[report.VERDICTS.indexOf(verdict)]!;
	const answered = get('good') + get('slow');
	const failed = get('not-run') + get('unknown') + get('upstream-error');
	const budget = 1 - objective.availability;
	return {
		availability: answered + failed === 0 ? 0 : failed / (answered + failed) / budget,
		latency: answered === 0 ? 0 : get('slow') / answered / budget,
	};
}
