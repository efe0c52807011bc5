/**
Compiles a script of the binary ahead of time: `compile.ts SCRIPT CODE [played]`. Runs in a process of its own with the flags of the
binary, as code fits only the flags that it was compiled with.

A function that has run once is compiled, others are compiled when first called. So the script that every host of a fleet runs is
played with some requests before its code is taken: a process then starts, and answers its first requests, without compiling.
*/
import * as files from 'node:fs/promises';
import * as module from 'node:module';
import process from 'node:process';
import * as vm from 'node:vm';
import * as warmUp from '../../platform/build/warm-up.ts';

type Loader = (require: NodeJS.Require, loaded: {exports: unknown}, exports: unknown) => void;

const [scriptPath = '', codePath = '', word] = process.argv.slice(2);
const script = new vm.Script(await files.readFile(scriptPath, 'utf8'), {filename: scriptPath});
if (word === 'played') {
	const plan = await warmUp.prepare();
	process.argv = [process.execPath, process.execPath, 'platform', '--config', plan.settingsPath, '--log-level', 'info'];
	const loaded = {exports: {}};
	const load = script.runInThisContext() as Loader;
	load(module.createRequire(import.meta.url), loaded, loaded.exports);
	await plan.run();
}

await files.writeFile(codePath, script.createCachedData());
// What was played still runs.
// eslint-disable-next-line unicorn/no-process-exit
process.exit(0);
