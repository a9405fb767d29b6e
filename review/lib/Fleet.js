import { Worker } from './Worker.js'

/** The workers, the jobs that the clients have sent, and what was run. */
export class Fleet {
  constructor (journal) {
    this.journal = journal
    this.workers = []
    this.jobs = new Map()
    /** Active runs by task: list of `{ worker, run }`. */
    this.active = new Map()
    /** By task, the runs that have ended `done`: `{ run, isNoted, laterStarts }`. */
    this.done = new Map()
    /** Time of the last end of a run, by task. */
    this.idleSince = new Map()
    /** Broken rules, as text. */
    this.broken = []
    /** Ids of the jobs whose runs are not recorded one by one. */
    this.quietJobs = new Set()
  }

  async addWorker (options) {
    const worker = new Worker({ ...options, fleet: this })
    this.workers.push(worker)
    await worker.start()
    return worker
  }

  /** @param job - `{ id, steps: [{ count, cpu, saves, gang, duration: (index, run) => ms, fails: (index, run) => boolean }] }` */
  addJob (job) {
    this.jobs.set(job.id, job)
  }

  isQuiet (task) {
    return this.quietJobs.has(task.split('.')[0])
  }

  planOf (task, run) {
    const [id, , step, index] = task.split('.')
    const plan = this.jobs.get(id)?.steps[Number(step)]
    if (plan === undefined) return undefined
    return { cpu: plan.cpu, saves: plan.saves === true, gang: plan.gang === true ? plan.count : 1, duration: plan.duration(Number(index), run), fails: plan.fails?.(Number(index), run) === true }
  }

  breakRule (text) {
    this.broken.push(text)
    if (this.broken.length <= 20) this.journal.write('RULE BROKEN', text)
  }

  runStarted (worker, run, { lease, deadline }) {
    const { task } = run
    if (!this.isQuiet(task)) this.journal.write('start', `${task} run ${run.run} on ${worker.id} born ${worker.born}, deadline_ms ${deadline} at clock_ms ${worker.clock()}, lease ${lease} ms`)
    const others = this.active.get(task) ?? []
    for (const other of others) this.breakRule(`TWICE: ${task} run ${run.run} starts on ${worker.id} while run ${other.run} works on ${other.worker.id}, which is up`)
    this.active.set(task, [...others, { worker, run: run.run }])
    this.startGang(task, run)
    for (const end of this.done.get(task) ?? []) {
      if (end.isNoted) this.breakRule(`TWICE: ${task} run ${run.run} starts on ${worker.id} after run ${end.run} has ended done, which was taken note of`)
      else end.laterStarts.push({ run: run.run, worker: worker.id })
    }
  }

  /** Lets the members of a gang work once all of them are present. */
  startGang (task, { run, isWaiting }) {
    if (!isWaiting) return
    const members = this.membersOf(task, run)
    if (members.length < this.planOf(task, run).gang) return
    const now = performance.now()
    for (const { present } of members) Object.assign(present, { isWaiting: false, startedAt: now, endsAt: now + present.duration })
  }

  membersOf (task, run) {
    const step = task.slice(0, task.lastIndexOf('.') + 1)
    return this.workers.flatMap(worker => [...worker.running.values()].filter(present => present.run === run && present.task.startsWith(step)).map(present => ({ worker, present })))
  }

  startRefused (worker, { task, run }, reason) {
    if (!this.isQuiet(task)) this.journal.write('refused', `start of ${task} run ${run} on ${worker.id}: ${reason}`)
  }

  runGone (worker, run, how) {
    const { task } = run
    if (!this.isQuiet(task)) this.journal.write('end', `${task} run ${run.run} on ${worker.id}: ${how}`)
    this.idleSince.set(task, performance.now())
    this.active.set(task, (this.active.get(task) ?? []).filter(each => each.worker !== worker || each.run !== run.run))
    if (how !== 'broken' && this.planOf(task, run.run)?.gang > 1) {
      for (const member of this.membersOf(task, run.run)) member.worker.end(member.present, how === 'done' || how === 'failed' ? how : 'broken')
    }
    if (how !== 'done') return
    const ends = this.done.get(task) ?? []
    ends.push({ run: run.run, isNoted: false, laterStarts: [] })
    this.done.set(task, ends)
  }

  /** An end was acknowledged. It counts only if the lease has not lapsed meanwhile. */
  endNoted (worker, { task, run, how, isOutlived }) {
    if (how !== 'done' || isOutlived) return
    const end = this.done.get(task)?.find(each => each.run === run)
    if (end === undefined) return
    end.isNoted = true
    for (const start of end.laterStarts) this.breakRule(`TWICE: ${task} run ${start.run} was started on ${start.worker} after run ${run} had ended done, which is taken note of now`)
  }

  unasked (worker, task, run) {
    this.breakRule(`UNASKED: ${worker.id} is told to start ${task} run ${run}, which nobody has sent`)
  }

  get capacity () {
    return this.workers.filter(worker => worker.isUp).reduce((sum, worker) => sum + worker.cpu, 0)
  }

  get used () {
    return this.workers.filter(worker => worker.isUp).reduce((sum, worker) => sum + worker.used, 0)
  }

  activeRunsOf (id) {
    let count = 0
    for (const [task, runs] of this.active) if (task.startsWith(id)) count += runs.length
    return count
  }
}
