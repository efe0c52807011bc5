import * as standins from 'wagtailroute-standin';
import * as load from './index.ts';
const MIX = load.parseMix(`
organisations: 3
requests:
  - {path: /read}
  - {path: /media, answer: bytes, answerBytes: 40000}
  - {method: POST, path: /media, answer: body, bodyBytes: 100000, class: idempotent}
  - {method: POST, path: /merge, bodyBytes: 100, class: non-idempotent, key: true}
`).unwrap();
for (let i = 0; i < 30; i++) {
	const s = standins.createStandin({id: 'u', service: 'a', address: {ip: '127.0.0.1', port: 0}, failureDomain: 'f', slots: 100, connections: 100, announceTo: () => [], seed: 1});
	await s.start();
	let last: unknown;
	const t = setTimeout(() => {
		const c = s.counters();
		console.log('HUNG', i, JSON.stringify(last), JSON.stringify({...c, runsById: 0, runsByKey: 0}));
		console.log(process.getActiveResourcesInfo().join(' '));
		process.exit(1);
	}, 15_000);
	await load.runLoad({targets: [s.getAddress()], requestsPerSecond: 300, seconds: 1, concurrency: 50, mix: {...MIX, faults: [{atSeconds: 0.5, behaviours: [{kind: 'shed', share: 1} as const]}]}, seed: 1, standins: [s.getAddress()], onProgress(p) { last = {...p, record: p.record.endings}; }});
	clearTimeout(t);
	await s.stop();
}
console.log('fine');
