import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import type { NodeAddresses } from '../../src/index.js'

const STAND_INS = fileURLToPath(import.meta.resolve('@rattanstep/stand-ins')).replace(/index\.js$/, 'node/main.js')
const DAEMON = fileURLToPath(new URL('./daemon.js', import.meta.url))

/** Shared secret of the test cell. */
export const SECRET = 'secret-of-the-test-cell'

/** A running process of the test cell. */
export interface RunningProcess {
  process: ChildProcess
  /** Resolves with the exit code. */
  exited: Promise<number | null>
}

/** A stand-in for the platform or a worker. */
export interface StandInProcess extends RunningProcess {
  url: string
}

/** A node process. */
export interface NodeProcess extends RunningProcess {
  id: string
  addresses: NodeAddresses
  incarnation: string
  /** Parsed log lines written so far. */
  log: Array<Record<string, unknown>>
  /** Lines of the error output written so far. */
  errorOutput: string[]
}

/** Starts and stops the processes of one cell: a stand-in platform, stand-in workers and nodes. */
export class TestCell {
  readonly nodes: NodeProcess[] = []
  readonly workers: StandInProcess[] = []
  private readonly running: RunningProcess[] = []
  private readonly folder = mkdtempSync(join(tmpdir(), 'rattanstep-'))
  private platformUrl = ''

  /** @returns URL of the stand-in platform */
  get platform (): string {
    return this.platformUrl
  }

  /** Starts the stand-in platform. */
  async startPlatform (): Promise<void> {
    const standIn = await this.startStandIn(['platform', '--lag', '300'])
    this.platformUrl = standIn.url
  }

  /**
   * Starts a stand-in worker.
   *
   * @param id - name of the worker
   * @param extra - further command-line arguments
   * @returns the process
   */
  async startWorker (id: string, extra: string[] = []): Promise<StandInProcess> {
    const worker = await this.startStandIn(['worker', '--id', id, '--platform', this.platformUrl.slice('http://'.length), ...extra])
    this.workers.push(worker)
    return worker
  }

  /**
   * Starts a node and waits until it serves.
   *
   * @param id - name of the node
   * @param overrides - settings that differ from the defaults of the test cell
   * @returns the process
   */
  async startNode (id: string, overrides: Record<string, unknown> = {}): Promise<NodeProcess> {
    const file = join(this.folder, `${id}.yaml`)
    const settings = {
      id,
      cell: 'test',
      dataCentre: 'north',
      front: '127.0.0.1:0',
      peer: '127.0.0.1:0',
      control: '127.0.0.1:0',
      platform: this.platformUrl.slice('http://'.length),
      secret: SECRET,
      drain: '10s',
      ...overrides
    }
    writeFileSync(file, Object.entries(settings).map(([key, value]) => `${key}: ${String(value)}\n`).join(''))
    await this.register(id)
    const child = spawn(process.execPath, [DAEMON, file], { stdio: ['ignore', 'pipe', 'pipe'] })
    const log: NodeProcess['log'] = []
    readLines(child.stdout, line => { log.push(JSON.parse(line) as Record<string, unknown>) })
    const errorOutput: string[] = []
    readLines(child.stderr, line => { errorOutput.push(line) })
    const ready = await waitForReady(child, child.stderr) as unknown as { addresses: NodeAddresses, incarnation: string }
    const node: NodeProcess = { id, process: child, exited: waitForExit(child), log, errorOutput, ...ready }
    this.running.push(node)
    this.nodes.push(node)
    return node
  }

  /**
   * Sets the simulated faults of a platform service.
   *
   * @param target - the service
   * @param faults - faults to simulate
   */
  async setFaults (target: 'table' | 'objects' | 'instances', faults: Record<string, unknown>): Promise<void> {
    await post(`${this.platformUrl}/faults`, { target, faults })
  }

  /** @returns for each node how its process ended, if it has, with the last lines that it wrote */
  describeNodes (): string {
    return this.nodes.map(({ id, process: child, log, errorOutput }) => JSON.stringify({
      id, exitCode: child.exitCode, signal: child.signalCode, errorOutput: errorOutput.slice(-20), log: log.slice(-40)
    })).join('\n')
  }

  /** Kills every process that was started and removes the settings files. */
  async close (): Promise<void> {
    for (const { process: child } of this.running) {
      child.kill('SIGCONT')
      child.kill('SIGKILL')
    }
    await Promise.all(this.running.map(async ({ exited }) => await exited))
    rmSync(this.folder, { recursive: true })
  }

  private async register (id: string): Promise<void> {
    await post(`${this.platformUrl}/instances/register`, {
      id,
      role: 'entry',
      state: 'live',
      dataCentre: 'north',
      rack: 'r0',
      address: { host: '127.0.0.1', port: 1 },
      resources: { slots: 0, cores: 0, memory: 0, accelerators: 0 },
      connections: 0
    })
  }

  private async startStandIn (args: string[]): Promise<StandInProcess> {
    const child = spawn(process.execPath, [STAND_INS, ...args], { stdio: ['ignore', 'pipe', 'inherit'] })
    const { url } = await waitForReady(child, child.stdout) as unknown as { url: string }
    const standIn = { process: child, url, exited: waitForExit(child) }
    this.running.push(standIn)
    return standIn
  }
}

/**
 * Sends a JSON POST request.
 *
 * @param url - URL to post to
 * @param body - value to serialise
 * @throws Error when the status is not 2xx
 */
export async function post (url: string, body: unknown): Promise<void> {
  const answer = await fetch(url, { method: 'POST', body: JSON.stringify(body) })
  if (!answer.ok) throw new Error(`${url} responded with status ${answer.status}: ${await answer.text()}`)
}

async function waitForExit (child: ChildProcess): Promise<number | null> {
  if (child.exitCode !== null) return child.exitCode
  return await new Promise(resolve => child.once('exit', code => { resolve(code) }))
}

async function waitForReady (child: ChildProcess, stream: NodeJS.ReadableStream): Promise<Record<string, unknown>> {
  return await new Promise((resolve, reject) => {
    const output: string[] = []
    child.once('exit', code => { reject(new Error(`a process exited with code ${String(code)} before it was ready: ${output.join('\n')}`)) })
    readLines(stream, line => {
      if (line.includes('"ready":true')) resolve(JSON.parse(line) as Record<string, unknown>)
      else output.push(line)
    })
  })
}

function readLines (stream: NodeJS.ReadableStream, onLine: (line: string) => void): void {
  let partial = ''
  stream.setEncoding('utf8')
  stream.on('data', (chunk: string) => {
    const lines = (partial + chunk).split('\n')
    partial = lines.pop()!
    for (const line of lines) onLine(line)
  })
}
