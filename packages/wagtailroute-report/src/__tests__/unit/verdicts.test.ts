/**
What each way in which a request can end is counted as.
*/
import test from 'ava';
import * as report from '../../index.ts';

const OBJECTIVE: report.Objective = {availability: 0.99, latencyMilliseconds: 100, windowDays: 28};
const RESULT: report.RequestResult = {
	outcome: 'ran', status: 200, milliseconds: 10, isCancelled: false, isFleetMade: false,
};

type Case = {readonly name: string; readonly result: Partial<report.RequestResult>; readonly verdict: report.Verdict};

const CASES: readonly Case[] = [
	{name: 'an answer in time', result: {}, verdict: 'good'},
	{name: 'an answer at the bound', result: {milliseconds: 100}, verdict: 'good'},
	{name: 'an answer after the bound', result: {milliseconds: 100.1}, verdict: 'slow'},
	{name: 'a backend server\'s own 404', result: {status: 404}, verdict: 'good'},
	{name: 'a backend server\'s own 429', result: {status: 429}, verdict: 'good'},
	{name: 'a backend server\'s own 500', result: {status: 500}, verdict: 'upstream-error'},
	{name: 'a late 503 is one bad request', result: {status: 503, milliseconds: 1000}, verdict: 'upstream-error'},
	{name: 'no backend server', result: {outcome: 'not-run', status: 503, isFleetMade: true}, verdict: 'not-run'},
	{name: 'a rate limit', result: {outcome: 'not-run', status: 429, isFleetMade: true}, verdict: 'not-run'},
	{name: 'a not-run relayed from the carrier', result: {outcome: 'not-run', status: 503}, verdict: 'not-run'},
	{name: 'a backend server lost', result: {outcome: 'unknown', status: 502, isFleetMade: true}, verdict: 'unknown'},
	{name: 'a key whose outcome is unknown', result: {outcome: 'unknown', status: 409, isFleetMade: true}, verdict: 'unknown'},
	{name: 'an answer cut off after its status', result: {outcome: 'unknown', status: 200}, verdict: 'unknown'},
	{name: 'a body cut off by its caller', result: {outcome: 'unknown', status: 400, isFleetMade: true}, verdict: 'caller-error'},
	{name: 'a body too large', result: {outcome: 'not-run', status: 413, isFleetMade: true}, verdict: 'caller-error'},
	{name: 'a resend whose answer was not kept', result: {outcome: 'ran', status: 409, isFleetMade: true}, verdict: 'caller-error'},
	{name: 'a caller that went away', result: {outcome: 'unknown', status: 502, isCancelled: true}, verdict: 'cancelled'},
];

for (const {name, result, verdict} of CASES) {
	test(`${name} is ${verdict}`, t => {
		t.is(report.getVerdict({...RESULT, ...result}, OBJECTIVE), verdict);
	});
}
