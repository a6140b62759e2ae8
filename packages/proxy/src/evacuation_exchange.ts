/**
 * The message by which VMs tell each other all orders to evacuate data centres that they know.
 */

import type * as declarations from "@hemlockwalk/declarations";
import * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import * as zod from "zod/mini";
import * as exchange from "./target_exchange.ts";

const positionSchema = zod.object({ era: zod.number(), revision: zod.number() });

const messageSchema = zod.object({
  mark: zod.object({
    digest: zod.number(),
    asOf: zod.nullable(positionSchema),
    latest: zod.nullable(positionSchema),
  }),
  changes: zod.array(
    zod.object({
      dataCentre: zod.string().check(zod.minLength(1)),
      era: zod.number(),
      revision: zod.number(),
      isEvacuated: zod.boolean(),
    }),
  ),
});

export function encodeEvacuations({ mark, changes }: declarations.EvacuationList): unknown {
  return {
    mark: exchange.encodeMark(mark),
    changes: changes.map(({ dataCentre, position: { era, revision }, isEvacuated }) => ({
      dataCentre,
      era,
      revision,
      isEvacuated,
    })),
  };
}

/** Decodes the message of another VM; the error states what is invalid. */
export function decodeEvacuations(
  message: unknown,
): neverthrow.Result<declarations.EvacuationList, string> {
  const parsed = zod.safeParse(messageSchema, message);
  const mark = parsed.success ? exchange.decodeMark(parsed.data.mark) : undefined;
  if (!parsed.success || mark === undefined) {
    const issues = parsed.error?.issues ?? [];
    return neverthrow.err(
      issues.map((issue) => `${issue.path.join(".")}: ${issue.message}`).join("; "),
    );
  }
  return neverthrow.ok({
    mark,
    changes: parsed.data.changes.map(({ dataCentre, era, revision, isEvacuated }) => ({
      dataCentre: model.createDataCentreId(dataCentre),
      position: { era, revision } as declarations.StorePosition,
      isEvacuated,
    })),
  });
}
