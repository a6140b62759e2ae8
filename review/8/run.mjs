/** A machine is stopped while requests wait in it for a free slot. */

import * as path from "node:path";
import process from "node:process";
import * as url from "node:url";
import * as clients from "../lib-2/client.mjs";
import * as configs from "../lib-2/config.mjs";
import * as servers from "../lib-2/server.mjs";
import * as systems from "../lib-2/system.mjs";

const SERVICE = "huvo11a";
const SLOTS = 3;
const SERVERS = 2;
const GRACE_MILLISECONDS = 6_000;
const LOSS_SLACK_MILLISECONDS = 200;

/** Aim and deadline of `rota-check` on the largest site, and its longest work. */
const OBJECTIVE = "8000ms";
const DEADLINE_MILLISECONDS = 30_000;
const WORK_MILLISECONDS = 6_800;

/** Requests that keep all slots busy, sent through the machines that are not stopped. */
const BUSY_REQUESTS = 12;

/** Times after the SIGTERM at which clients use the connections that they have kept. */
const AFTER_STOP_MILLISECONDS = [1_000, 1_400, 1_800, 2_000, 2_200, 2_400];

/** With TROUBLE=0 the same is played without the disruption. */
const hasTrouble = process.env.TROUBLE !== "0";

const folder = path.dirname(url.fileURLToPath(import.meta.url));

await systems.runCase(folder, hasTrouble, async (system, trouble) => {
  const ran = new Set();
  const work = async (_server, { response, id, request }) => {
    ran.add(id);
    await systems.sleep(request.url.startsWith("/warm/") ? 20 : WORK_MILLISECONDS);
    response.writeHead(200, { ...servers.createAnswerHead(id), "Content-Length": 400 });
    response.end(Buffer.alloc(400, "x"));
  };
  const route = { kind: "non_idempotent", service: SERVICE, timeout: "30000ms" };
  system.configure(configs.createConfig([
    { ...route, name: "r-book", prefix: "/book/", slo: OBJECTIVE },
    { ...route, name: "r-warm", prefix: "/warm/", slo: "1000ms" },
  ]));
  const zones = ["be-north-a", "be-north-b", "be-north-c"];
  for (const zone of zones.slice(0, SERVERS)) {
    await system.addServer(
      new servers.Server({ system, service: SERVICE, zone, slots: SLOTS, queue: 8, work }),
    );
  }
  await system.startMachines(zones);
  await systems.sleep(4_000);
  const [stopped, ...others] = system.machines;

  const send = (connection, target, machine) => {
    const id = clients.createRequestId();
    connection.send(clients.createRequest({
      method: "POST",
      path: target,
      host: configs.HOST,
      id,
      deadline: DEADLINE_MILLISECONDS,
      key: configs.KEY,
      body: "corner=7",
    }));
    system.record(`a client sends ${id} (${target}) to ${machine.name}`);
    return { id, sentAt: system.now };
  };
  // Kept connections: each has had an answer.
  const kept = [];
  for (let index = 0; index < AFTER_STOP_MILLISECONDS.length; index++) {
    const connection = await clients.open(stopped);
    send(connection, "/warm/1", stopped);
    await connection.waitForResponses(1, 2_000);
    kept.push(connection);
  }
  const busy = [];
  for (let index = 0; index < BUSY_REQUESTS; index++) {
    const machine = others[index % others.length];
    const connection = await clients.open(machine);
    send(connection, "/book/1", machine);
    busy.push(connection);
    await systems.sleep(10);
  }
  await systems.sleep(150);
  if (trouble) {
    stopped.terminate(GRACE_MILLISECONDS);
  }
  const waiting = await Promise.all(kept.map(async (connection, index) => {
    await systems.sleep(AFTER_STOP_MILLISECONDS[index]);
    const { id, sentAt } = send(connection, "/book/2", stopped);
    await connection.waitForResponses(2, DEADLINE_MILLISECONDS);
    const answer = connection.responses[1];
    const milliseconds = Math.round(system.now - sentAt);
    const isAnswered = answer?.isComplete === true;
    const where = ran.has(id) ? "a server ran it" : "no server got it";
    system.record(
      isAnswered
        ? `${id} has status ${answer.status} after ${milliseconds} ms; ${where}`
        : `the connection of ${id} ends (${connection.ending}) without an answer after ` +
          `${milliseconds} ms; ${where}`,
    );
    // A request that a server works on at the end of the grace period would be excused.
    const isLost = !isAnswered && !ran.has(id) && milliseconds > LOSS_SLACK_MILLISECONDS;
    return { isLost, status: answer?.status ?? "none" };
  }));
  busy.forEach((connection) => connection.close());
  const lost = waiting.filter(({ isLost }) => isLost).length;
  return {
    isBroken: lost > 0,
    summary: `${lost > 0 ? "LOST broken" : "held"}: ${lost} of ${waiting.length} requests had no ` +
      `answer and reached no server; statuses: ${waiting.map(({ status }) => status).join(", ")}`,
  };
});
