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

/**
Returns the names of the alerts on an objective from the definition: of the whole budget, at least a share is burnt at the rates
of the long and the short window alike, and at least ten requests of the short one are bad.
*/
export function getAlerts(count: (span: number) => report.Counts, name: 'availability' | 'latency', objective: report.Objective): readonly string[] {
	const hour = 3_600_000;
	const getBad = (counts: report.Counts) => {
		const get = (verdict: report.Verdict) => counts[report.VERDICTS.indexOf(verdict)]!;
		return name === 'latency' ? get('slow') : get('not-run') + get('unknown') + get('upstream-error');
	};

	const rules = [
		{
			name: 'fast-burn', long: hour, short: hour / 12, share: 0.02,
		},
		{
			name: 'slow-burn', long: 6 * hour, short: hour / 2, share: 0.05,
		},
		{
			name: 'budget-drain', long: 72 * hour, short: 6 * hour, share: 0.1,
		},
	];
	const standing = rules.filter(({long, short, share}) => {
		const threshold = share * objective.windowDays * 24 * hour / long;
		const isBurning = [long, short].every(span => getBurnRates(count(span), objective)[name] >= threshold);
		return isBurning && getBad(count(short)) >= 10;
	});
	return standing.map(rule => rule.name);
}
