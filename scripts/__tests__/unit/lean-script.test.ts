/**
Tests of what the scripts of the binary hold.
*/
import * as path from 'node:path';
import test from 'ava';
import * as esbuild from 'esbuild';
import {SCRIPTS} from '../../build/scripts.ts';

const ROOT = path.resolve(import.meta.dirname, '../../..');
const CHECK_MODULE_PATTERN = /(?:platform|wagtailroute-generations|wagtailroute-catalogue)\/src\/checks\/|wagtailroute-core\/src\/findings\.ts/v;

// Guards against a fleet's many processes that each compile and hold the checks of documents, which only operators run.
for (const {name, entry, plugins} of SCRIPTS) {
	test(`the script ${name} ${name === 'platform' ? 'holds no check' : 'holds the checks'}`, async t => {
		const {metafile} = await esbuild.build({
			entryPoints: [path.join(ROOT, entry)],
			absWorkingDir: ROOT,
			bundle: true,
			platform: 'node',
			format: 'cjs',
			minifySyntax: true,
			external: ['unix-dgram'],
			plugins: [...plugins],
			logLevel: 'silent',
			outfile: 'unwritten.cjs',
			write: false,
			metafile: true,
		});
		const [output] = Object.values(metafile.outputs);
		const modules = Object.keys(output!.inputs).filter(module => CHECK_MODULE_PATTERN.test(module));
		t.is(modules.length === 0, name === 'platform', modules.join(', '));
	});
}
