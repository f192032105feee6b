// Package cctransfer bounds an HTTP call by the progress of its response.
//
// A limit on a whole call ends a long response on a slow link although it arrives well, and the
// repetition takes the link again. This package limits three things separately:
//
//   - the time until the response begins, since a store that is away is recognized by it;
//   - the silence while the body is read, since a lost connection sends nothing further;
//   - the least rate of the body, since a body that trickles would never end.
//
// # Usage
//
//	guard := cctransfer.NewGuard(ctx, cctransfer.Limits{Response: time.Second})
//	defer guard.Stop()
//	response, err := client.Do(request.WithContext(guard.Context()))
//	if err != nil {
//		return guard.Explain(err)
//	}
//	body, err := guard.ReadBody(response.Body, response.ContentLength, maxBytes)
package cctransfer
