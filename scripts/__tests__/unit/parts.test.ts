/**
Tests of the parts of libraries that the build for the platform keeps.

They guard against a built program that doesn't start, while all tests pass because they run from source with the whole libraries.
*/
import * as fs from 'node:fs';
import * as path from 'node:path';
import test from 'ava';
import {PARTS} from '../../build/scripts.ts';

const ROOT = path.resolve(import.meta.dirname, '../../..');

/**
Packages in the processes of the platform that use a library of which only parts are kept, with the name under which they import it.
*/
const USERS = [
	{folder: 'packages/wagtailroute-proxy/src', library: 'undici', name: 'undici'},
	{folder: 'packages/wagtailroute-telemetry/src', library: 'prom-client', name: 'prometheus'},
] as const;

for (const {folder, library, name} of USERS) {
	test(`the build keeps all parts of ${library} that ${folder} uses`, t => {
		const sources = fs.readdirSync(path.join(ROOT, folder)).filter(file => file.endsWith('.ts')).map(file => fs.readFileSync(path.join(ROOT, folder, file), 'utf8'));
		const used = new Set(sources.flatMap(source => source.matchAll(new RegExp(String.raw`(?:(?:new|extends|instanceof) ${name}\.(\w+))|(?:\b${name}\.([a-z]\w*))`, 'gv'))
			.map(([, constructor, member]) => constructor ?? member)
			.toArray()));
		t.true(used.size > 0);
		t.deepEqual([...used].filter(member => !PARTS[library]!.includes(`exports.${member} =`)), []);
	});
}
