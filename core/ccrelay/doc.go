// Package ccrelay sends a plan in pieces, each asked for by its receiver.
//
// A large plan in one message keeps all later messages of its connection, and on a narrow link
// those of all connections, from arriving for as long as it takes. So the receiver asks for one
// piece after the other, and at most one for each receiver is on its way. The receiver keeps what
// it has when a connection breaks, and may ask another holder for the rest: the encoding of a
// plan is the same at all holders.
//
// # Usage
//
//	var holder ccrelay.Holder
//	piece, err := holder.Answer(plan, position) // At the process that has the plan.
//
//	var assembly ccrelay.Assembly
//	progress, err := assembly.Add(piece) // At the one that gets it.
//	plan := assembly.Plan()              // Nil until it is complete.
//	position := assembly.Position()      // What to ask for next.
package ccrelay
