/**
Builds the one binary: bundles the program into its scripts, compiles them, and puts all into a copy of the pinned Node as a single
executable application. Written to `dist/wagtailroute`, or into the folder that is named as the argument.
*/
import * as childProcess from 'node:child_process';
import * as files from 'node:fs/promises';
import * as path from 'node:path';
import process from 'node:process';
import * as scripts from './build/scripts.ts';

const ROOT = path.dirname(import.meta.dirname);
const folder = process.argv[2] ?? 'dist';
const DIST = path.join(ROOT, folder);
/**
What only the build needs.
*/
const WORK = path.join(DIST, 'work');
const ENTRY = path.join(WORK, 'binary.cjs');
const BLOB = path.join(WORK, 'wagtailroute.blob');
const SEA_SETTINGS = path.join(WORK, 'sea.json');
const BINARY = path.join(DIST, 'wagtailroute');

/**
The place in the binary that Node turns on when a script is put into it.
*/
const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

const EXECUTABLE_MODE = 0o755;

await files.rm(DIST, {recursive: true, force: true});
await files.mkdir(WORK, {recursive: true});
await Promise.all([
	scripts.bundle(ROOT, {entry: 'packages/wagtailroute-cli/src/binary.ts', outfile: ENTRY}),
	...scripts.SCRIPTS.map(async script => {
		await scripts.bundle(ROOT, {...script, outfile: getScriptPath(script), isWrapped: true});
		compile(script);
	}),
]);
await createBlob();
await createBinary();
await files.rm(WORK, {recursive: true});
const {size} = await files.stat(BINARY);
process.stdout.write(`${folder}/wagtailroute: ${(size / 1_000_000).toFixed(1)} MB\n`);

function getScriptPath({name}: scripts.Script): string {
	return path.join(WORK, `${name}.cjs`);
}

function getCodePath({name}: scripts.Script): string {
	return path.join(WORK, `${name}.code`);
}

/**
A script that can not be played here, for want of a loopback address say, is compiled unplayed: the binary then starts slower and does the same.
*/
function compile(script: scripts.Script): void {
	const words = [...scripts.ENGINE_FLAGS, path.join(ROOT, 'scripts/build/compile.ts'), getScriptPath(script), getCodePath(script)];
	const run = (more: readonly string[]) => {
		childProcess.execFileSync(process.execPath, [...words, ...more], {stdio: ['ignore', 'ignore', 'inherit']});
	};

	if (!script.isPlayed) {
		run([]);
		return;
	}

	try {
		run(['played']);
	} catch (error) {
		process.stdout.write(`${folder}/wagtailroute: ${script.name} is compiled unplayed: ${(error as Error).message}\n`);
		run([]);
	}
}

async function createBlob(): Promise<void> {
	const assets = scripts.SCRIPTS.flatMap(script => [getScriptPath(script), getCodePath(script)]);
	await files.writeFile(SEA_SETTINGS, JSON.stringify({
		main: ENTRY,
		output: BLOB,
		// The name is Node's own.
		// eslint-disable-next-line @typescript-eslint/naming-convention
		disableExperimentalSEAWarning: true,
		useSnapshot: false,
		useCodeCache: false,
		execArgv: scripts.ENGINE_FLAGS,
		execArgvExtension: 'none',
		assets: Object.fromEntries(assets.map(file => [path.basename(file), file])),
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
