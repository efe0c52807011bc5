import test from 'ava';
import {
	createPlace,
	openTarget,
	runCampaign,
	SURFACES,
} from '../../index.ts';
import {closeConnections} from '../../fleet-client.ts';

const SEED = 2026;
const PORT = 27_300;

/**
Inputs of each surface; those that need a target wait for answers that mostly never come.
*/
const INPUTS: ReadonlyMap<string, number> = new Map([
	['traffic', 240],
	['announcements', 200],
	['directory', 200],
	['admin', 240],
	['peer', 1200],
	['stored', 1200],
	['command-line', 400],
]);

const target = await openTarget(createPlace(PORT));

test.after.always(async () => {
	await target.close();
	await closeConnections();
});

for (const surface of SURFACES.values()) {
	// Symptom: a host ends, stops answering, grows, or tells a wrong outcome.
	// Sequence: a stranger or a faulty host sends valid messages with a few changes.
	// Cause: a check is missing at the boundary; the finding names the inputs.
	test.serial(`${surface.name}: mutated inputs do no harm`, async t => {
		t.log(`seed ${SEED}`);
		const inputs = INPUTS.get(surface.name)!;
		const campaign = await runCampaign({
			surface,
			place: target.place,
			target: surface.needsTarget ? target : undefined,
			seed: SEED,
			goesOn: sent => sent < inputs,
		});
		t.deepEqual(campaign.findings, []);
		t.is(campaign.inputs, inputs);
	});
}
