/**
The page: what is in it, and what must not be.
*/
import test from 'ava';
import * as report from '../../index.ts';

const MINUTE = 60_000;
const DAY = 86_400_000;
const GOOD: report.RequestResult = {
	outcome: 'ran', status: 200, milliseconds: 1, isCancelled: false, isFleetMade: false,
};
const HOSTILE = '</style><script>alert("x")</script><img src=\'https://example.com/\'>&amp;';

async function createPage(names: {readonly service: string; readonly owner: string; readonly host: string}, span: string, failures: number): Promise<string> {
	const objective = {availability: 0.999, latencyMilliseconds: 100, windowDays: 28};
	const counters = report.createBurnCounters();
	for (let minute = 0; minute < 120; minute++) {
		counters.record(names.service, {...GOOD, status: minute < failures ? 500 : 200}, objective, minute * MINUTE);
	}

	const windowMilliseconds = report.parseSpan(span).unwrap();
	const merging = report.createMerging();
	merging.add(counters.summarize(windowMilliseconds, 120 * MINUTE));
	const hosts = {answered: 1, copied: [names.host], missing: [names.host]};
	const entry = {name: names.service, owner: names.owner, objective};
	return report.formatHtml(report.createReport({host: names.host, windowMilliseconds, hosts}, merging.read(), [entry]), pause);
}

const pause = async () => undefined;

const PLAIN = {service: 'archive', owner: 'genealogy', host: 'e1'};

for (const name of ['service', 'owner', 'host'] as const) {
	test(`a hostile name of a ${name} stays text`, async t => {
		/*
		Symptom: the page of an operator runs a script, or loads from an address, that whoever may write a catalogue entry chose.
		Sequence: an entry with tags as its owner is accepted, and the page is opened in a browser.
		Cause: a name written into the page as it is.
		*/
		const page = await createPage({...PLAIN, [name]: HOSTILE}, '1h', 30);
		t.true(page.includes('&lt;/style&gt;&lt;script&gt;alert(&quot;x&quot;)&lt;/script&gt;&lt;img src=&#39;https://example.com/&#39;&gt;&amp;amp;'));
		t.false(page.includes(HOSTILE));
		t.notRegex(page, /<script|<img|<link|<iframe|<object/iv);
	});
}

test('the page loads nothing', async t => {
	const page = await createPage(PLAIN, '1h', 30);
	// The only addresses are the names of SVG's own namespaces.
	const addresses = new Set(page.match(/\bhttps?:[^\s"]+/gv));
	t.deepEqual(addresses.difference(new Set(['http://www.w3.org/2000/svg', 'http://www.w3.org/1999/xlink'])), new Set());
	t.notRegex(page, /\b(?:src|href)=|@import|url\((?!#)/v);
	t.true(page.includes('default-src \'none\''));
});

// Windows whose points are seconds to days wide, and one that is no whole number of buckets.
for (const span of ['5m', '17m', '1h', '61m', '6h', '3d', '28d', '90d']) {
	for (const failures of [0, 120]) {
		test(`over ${span} with ${failures} of 120 requests failed each plot is drawn`, async t => {
			const page = await createPage(PLAIN, span, failures);
			t.is(page.match(/<svg/gv)?.length, 2);
			t.notRegex(page, /NaN|Infinity|undefined|null/v);
			t.true(page.includes('>now</text>'));
			t.is(page.includes('class="spent"'), failures > 0);
		});
	}
}

test('a page without services says so', async t => {
	const hosts = {answered: 1, copied: [], missing: []};
	const page = await report.formatHtml({
		host: 'e1', windowMilliseconds: DAY, hosts, untracked: 0, services: [],
	}, pause);
	t.true(page.includes('No requests were counted.'));
});
