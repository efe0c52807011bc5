/**
Builds the one binary: bundles the program into one script, and puts it into a copy of the pinned Node as a single
executable application. Written to `dist/wagtailroute`, or into the folder that is named as the argument.
*/
import * as childProcess from 'node:child_process';
import * as files from 'node:fs/promises';
import * as path from 'node:path';
import process from 'node:process';
import * as esbuild from 'esbuild';

const ROOT = path.dirname(import.meta.dirname);
const folder = process.argv[2] ?? 'dist';
const DIST = path.join(ROOT, folder);
const SCRIPT = path.join(DIST, 'wagtailroute.cjs');
const BLOB = path.join(DIST, 'wagtailroute.blob');
const SEA_SETTINGS = path.join(DIST, 'sea.json');
const BINARY = path.join(DIST, 'wagtailroute');

/**
The place in the binary that Node turns on when a script is put into it.
*/
const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

const EXECUTABLE_MODE = 0o755;

await files.rm(DIST, {recursive: true, force: true});
await files.mkdir(DIST, {recursive: true});
await bundle();
await createBlob();
await createBinary();
const {size} = await files.stat(BINARY);
process.stdout.write(`${folder}/wagtailroute: ${(size / 1_000_000).toFixed(1)} MB\n`);

async function bundle(): Promise<void> {
	await esbuild.build({
		entryPoints: [path.join(ROOT, 'packages/wagtailroute-cli/src/main.ts')],
		outfile: SCRIPT,
		bundle: true,
		platform: 'node',
		format: 'cjs',
		target: 'node24',
		minifySyntax: true,
		minifyWhitespace: true,
		legalComments: 'none',
		// Optional native speed-ups: each caller of them does without where they are missing, as in a binary.
		external: ['unix-dgram'],
		logLevel: 'warning',
	});
}

async function createBlob(): Promise<void> {
	await files.writeFile(SEA_SETTINGS, JSON.stringify({
		main: SCRIPT,
		output: BLOB,
		// The name is Node's own.
		// eslint-disable-next-line @typescript-eslint/naming-convention
		disableExperimentalSEAWarning: true,
		useSnapshot: false,
		// Code compiled at build time starts faster; it fits because the binary is the same Node that compiled it.
		useCodeCache: true,
	}));
	childProcess.execFileSync(process.execPath, ['--experimental-sea-config', SEA_SETTINGS], {stdio: ['ignore', 'ignore', 'inherit']});
}

async function createBinary(): Promise<void> {
	await files.copyFile(process.execPath, BINARY);
	await files.chmod(BINARY, EXECUTABLE_MODE);
	strip();
	const postject = path.join(ROOT, 'node_modules/.bin/postject');
	const words = [BINARY, 'NODE_SEA_BLOB', BLOB, '--sentinel-fuse', SENTINEL_FUSE];
	childProcess.execFileSync(postject, words, {stdio: 'pipe'});
	await Promise.all([SCRIPT, BLOB, SEA_SETTINGS].map(async file => files.rm(file)));
}

/**
Takes the symbols out where the tool for it is there; without it the binary is larger and does the same.
*/
function strip(): void {
	try {
		childProcess.execFileSync('strip', [BINARY], {stdio: 'ignore'});
	} catch {
		process.stdout.write(`${folder}/wagtailroute: not stripped, no tool for it\n`);
	}
}
