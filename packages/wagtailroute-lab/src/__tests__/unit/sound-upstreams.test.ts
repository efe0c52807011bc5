/**
Tests of the share of sound upstreams that get requests.
*/
import test from 'ava';
import {getLeastUsedShare, type UpstreamRecord} from '../../sound-upstreams.ts';

/**
Times of requests from 6 s on, one each 0.1 s.
*/
const TIMES = Array.from({length: 100}, (_item, index) => 6000 + (index * 100));

const BUSY: UpstreamRecord = {spells: [], arrivals: TIMES};
const IDLE: UpstreamRecord = {spells: [], arrivals: []};
const ILL: UpstreamRecord = {spells: [{from: 0, until: 16_000}], arrivals: []};
const RECOVERED: UpstreamRecord = {spells: [{from: 0, until: 5000}], arrivals: []};

type Case = {
	readonly name: string;
	/**
	Every how many requests one is not served.
	*/
	readonly failing: number;
	readonly upstreams: readonly UpstreamRecord[];
	readonly expected: number;
};

const CASES: readonly Case[] = [
	{
		name: 'all requests are served', failing: Infinity, upstreams: [BUSY, IDLE], expected: 1,
	},
	{
		name: 'few are not served', failing: 20, upstreams: [BUSY, IDLE], expected: 1,
	},
	{
		name: 'most are not served', failing: 1, upstreams: [BUSY, IDLE], expected: 1,
	},
	{
		name: 'some are not served', failing: 5, upstreams: [BUSY, BUSY, BUSY, IDLE], expected: 0.75,
	},
	{
		name: 'some are not served, and the others are ill', failing: 5, upstreams: [BUSY, ILL, ILL], expected: 1,
	},
	{
		name: 'some are not served, and another has been well for six seconds', failing: 5, upstreams: [BUSY, ILL, RECOVERED], expected: 0.5,
	},
	{
		name: 'some are not served, and no sound one gets anything', failing: 5, upstreams: [IDLE, IDLE], expected: 1,
	},
];

for (const {name, failing, upstreams, expected} of CASES) {
	test(`the least share of sound upstreams that get requests is ${expected}: ${name}`, t => {
		const requests = TIMES.map((at, index) => ({at, isServed: (index + 1) % failing !== 0}));
		t.is(getLeastUsedShare({requests, upstreams}), expected);
	});
}
