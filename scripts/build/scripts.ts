/**
The scripts that the binary holds, and what each is bundled from.
*/
import * as path from 'node:path';
import * as esbuild from 'esbuild';

/**
Flags of the engine that every process of the binary runs with. Compiled code fits only the flags that it was compiled with.

A young generation of 1 MB takes 1.3 MB of 22.7 MB private memory from an entry host at rest;
a played day of 53 processes used 66.0 s of processor time in place of 70.0 s (one run each).
*/
export const ENGINE_FLAGS: readonly string[] = ['--max-semi-space-size=1'];

/**
A script of the binary.
*/
export type Script = {
	readonly name: 'platform' | 'commands';
	/**
	Its entry module, from the root of the repository.
	*/
	readonly entry: string;
	readonly plugins: readonly esbuild.Plugin[];
	/**
	It is played before its code is taken, so that the code holds what a process runs first.
	*/
	readonly isPlayed: boolean;
};

/**
What the platform's processes use of libraries whose main module loads much more: the pool and the connections of an HTTP client without fetch,
web sockets and caches; four kinds of metrics without those of the process. The other modules cost 0.08 s of processor time and 6 MB
in each process.
*/
export const PARTS: Readonly<Record<string, string>> = {
	undici: `
		exports.Pool = require('undici/lib/dispatcher/pool.js');
		exports.Client = require('undici/lib/dispatcher/client.js');
		exports.errors = require('undici/lib/core/errors.js');
		exports.buildConnector = require('undici/lib/core/connect.js');
	`,
	'prom-client': `
		exports.Registry = require('prom-client/lib/registry.js');
		exports.Counter = require('prom-client/lib/counter.js');
		exports.Gauge = require('prom-client/lib/gauge.js');
		exports.Histogram = require('prom-client/lib/histogram.js');
	`,
	// The HTTP client does without it where a Node is built without it; upstreams speak HTTP/1.1.
	'node:http2': 'throw new Error("HTTP/2 is left out");',
};

const partsPlugin: esbuild.Plugin = {
	name: 'parts',
	setup(build) {
		/* eslint-disable require-unicode-regexp -- Filters are expressions of another language, which has no flags. */
		build.onResolve({filter: new RegExp(`^(?:${Object.keys(PARTS).join('|')})$`)}, ({path: name}) => ({path: name, namespace: 'parts'}));
		build.onLoad({filter: /.*/, namespace: 'parts'}, ({path: name}) => ({contents: PARTS[name]!, resolveDir: import.meta.dirname}));
		/* eslint-enable require-unicode-regexp */
	},
};

/**
The scripts of the binary.
*/
export const SCRIPTS: readonly Script[] = [
	{
		name: 'platform', entry: 'packages/wagtailroute-cli/src/platform-main.ts', plugins: [partsPlugin], isPlayed: true,
	},
	{
		name: 'commands', entry: 'packages/wagtailroute-cli/src/main.ts', plugins: [], isPlayed: false,
	},
];

/**
Bundles an entry module into a file. A script that is compiled apart is wrapped as a function of what a module is given.
*/
export async function bundle(root: string, {entry, outfile, plugins = [], isWrapped = false}: {
	readonly entry: string;
	readonly outfile: string;
	readonly plugins?: readonly esbuild.Plugin[];
	readonly isWrapped?: boolean;
}): Promise<void> {
	await esbuild.build({
		entryPoints: [path.join(root, entry)],
		outfile,
		bundle: true,
		platform: 'node',
		format: 'cjs',
		target: 'node24',
		minifySyntax: true,
		minifyWhitespace: true,
		legalComments: 'none',
		// Libraries choose their lean form by it.
		define: {'process.env.NODE_ENV': '"production"'},
		// Optional native speed-ups: each caller of them does without where they are missing, as in a binary.
		external: ['unix-dgram'],
		plugins: [...plugins],
		...isWrapped && {banner: {js: '(function (require, module, exports) {'}, footer: {js: '})'}},
		logLevel: 'warning',
	});
}
